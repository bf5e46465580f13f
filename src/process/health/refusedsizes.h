#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "base/timepoint.h"
#include "process/health/requestsize.h"

namespace nutmegplank::process::health {

//! What a server's refusal of a request says.
enum class RefusalCause {
    Full,     //!< The server has no room for any request.
    TooLarge, //!< Perhaps only for one of this size; smaller ones may still be served.
};

//! Tells servers that are full from requests that are too large for a server, which servers refuse
//! in the same words. A server that has taken a request of some size has room for it at times, so
//! that its refusal of another one means that it is full. A refusal of a larger one says nothing of
//! smaller ones. Not thread-safe.
class RefusedSizes
{
public:
    //! \a server began to run a request of \a size.
    auto noteTaken(const std::string &server, const RequestSize &size) -> void;
    //! \a server refused a request of \a size that was sent at \a sentAt.
    auto noteRefused(const std::string &server, const RequestSize &size, base::TimePoint sentAt,
                     base::TimePoint now) -> RefusalCause;
    //! Requests at least as large as one of these are not worth sending to \a server now.
    auto refused(const std::string &server, base::TimePoint now) const -> std::vector<RequestSize>;
    auto forget(const std::string &server) -> void;

private:
    //! A size that the server has refused.
    struct Bound
    {
        RequestSize size; //!< Only the measures that are above all that the server has taken.
        base::Duration pause { 0 };
        base::TimePoint until {};
    };

    using Bounds = std::vector<Bound>;

    static auto findBound(Bounds &bounds, const RequestSize &larger) -> Bound &;

    std::unordered_map<std::string, RequestSize> m_taken; //!< The largest in each measure.
    //! Of servers that have refused a size; most often empty, and looked at for each request.
    std::unordered_map<std::string, Bounds> m_bounds;
};

} // namespace nutmegplank::process::health
