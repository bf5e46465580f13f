#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>

#include "request/execution/irequestrunner.h"

namespace nutmegplank::request::execution {

//! Running requests by the id of the key that they came with, so that a withdrawn key cuts them.
//! Safe from any thread.
class KeyedRuns
{
public:
    //! Keeps one run in the index for as long as the entry lives.
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

    //! Cuts all runs whose key \a isValid denies, with \a reason. Gives how many.
    auto cut(const std::function<bool(const std::string &keyId)> &isValid, const Refusal &reason)
        -> std::size_t;

    //! Keys with running requests.
    auto size() const -> std::size_t;

private:
    using Runs = std::unordered_map<ICancellation *, std::shared_ptr<ICancellation>>;

    mutable std::mutex m_mutex;
    std::unordered_map<std::string, Runs> m_runs;
};

} // namespace nutmegplank::request::execution
