#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>

#include "request/execution/irequestrunner.h"

namespace nutmegplank::request::execution {

//! Index of running requests by the id of their API key, so that they can be cancelled when the key
//! is withdrawn. Thread-safe.
class KeyedRuns
{
public:
    //! Keeps one run in the index during its lifetime (RAII).
    class Entry
    {
    public:
        Entry(KeyedRuns &runs, std::string keyId, std::shared_ptr<ICancellation> cancellation);
        ~Entry();
        Entry(const Entry &) = delete;
        auto operator=(const Entry &) -> Entry & = delete;

    private:
        KeyedRuns &m_runs;
        std::string m_keyId;
        ICancellation *m_cancellation;
    };

    //! Cancels all runs whose key \a isValid rejects, with \a reason. Returns their number.
    auto cancelInvalid(const std::function<bool(const std::string &keyId)> &isValid,
                       const Refusal &reason) -> std::size_t;

    //! Number of keys with running requests.
    auto size() const -> std::size_t;

private:
    using Runs = std::unordered_map<ICancellation *, std::shared_ptr<ICancellation>>;

    mutable std::mutex m_mutex;
    std::unordered_map<std::string, Runs> m_runs;
};

} // namespace nutmegplank::request::execution
