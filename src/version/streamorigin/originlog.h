#pragma once

#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

#include "base/timepoint.h"
#include "version/streamorigin/streamorigin.h"

namespace nutmegplank::version::streamorigin {

//! How much of the log has been read when an origin is looked up.
enum class LogView {
    Complete, //!< Everything that was in the log when the stream was taken up.
    Stale,
};

//! Where a record was learned of.
enum class RecordSource {
    Log,
    OwnWrite, //!< This machine wrote it. No other machine replaces the record of a request.
};

//! The origins and baselines that this machine has read. Not thread-safe.
class OriginLog
{
public:
    //! The last record of an owner's request counts.
    auto apply(const StreamOrigin &origin, RecordSource source, base::TimePoint now) -> void;
    auto setBaseline(const std::string &service, const Baseline &baseline) -> void;
    //! The baselines were read completely.
    auto noteBaselinesRead(base::TimePoint now) -> void { m_baselinesReadAt = now; }
    auto baselines() const -> const BaselinesByService & { return m_baselines; }

    //! Whether a stream that begins at \a software must be recorded.
    auto mustRecord(const std::string &service, const std::string &software,
                    base::TimePoint now) const -> bool;
    //! Software version that began the stream of the request; nothing if that is not known. While
    //! the view is stale only streams that began at this machine are known: other machines may have
    //! begun streams at versions that this one has not heard of. \a onlyBaseline: no server of
    //! another version has been in service for as long as callers take streams up. \a requestId is
    //! empty if the caller did not name it. Nothing as well if only others have a stream of that
    //! id: a stream of \a caller without a record can't be told from one that it began under
    //! another key.
    auto find(const std::string &service, const std::string &requestId,
              const routing::Owner &caller, LogView view, bool onlyBaseline) const
        -> std::optional<std::string>;

    //! Forgets origins that callers do not ask for any more.
    auto expire(base::TimePoint now) -> void;
    auto size() const -> std::size_t { return m_origins.size(); }

private:
    struct Entry
    {
        StreamOrigin origin;
        RecordSource source = RecordSource::Log;
        base::TimePoint readAt {};
    };

    using Entries = std::vector<Entry>; //!< One of each owner.

    static auto entryOf(const Entries &entries, const routing::Owner &caller) -> const Entry *;

    std::unordered_map<std::string, Entries> m_origins;              //!< By request id.
    std::deque<std::pair<base::TimePoint, std::string>> m_readOrder; //!< Oldest first.
    BaselinesByService m_baselines;
    base::TimePoint m_baselinesReadAt {};
};

} // namespace nutmegplank::version::streamorigin
