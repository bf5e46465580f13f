#pragma once

#include <map>
#include <set>
#include <string>

#include <boost/asio.hpp>

#include "connection/http/ihttpresponder.h"
#include "engine/batch.h"
#include "engine/prefixcache.h"
#include "standins/common/coldstart.h"

namespace nutmegplank::standins {

struct EngineOptions
{
    ColdStartOptions cold;
    PrefixCacheOptions cache;
    std::string model;
    std::string weightStore; //!< "address:port"; loads need no store when it is empty.
    std::uint64_t version = 1;
    base::Duration step = std::chrono::milliseconds(5); //!< Of a batch with one stream.
    double stepGrowth = 0.05; //!< More time for each further stream, as a part of the step.
    base::Duration prefill = std::chrono::milliseconds(20); //!< For a prompt that is not cached.
    base::Duration load = std::chrono::milliseconds(200);   //!< After the weights were read.
    base::Duration reportDelay = std::chrono::milliseconds(300);
    std::uint32_t mostRunning = 64;
    std::uint32_t batchWidth = 32;
    bool checksFencing = true;
};

//! A model engine. See docs/PROTOCOLS.md.
class EngineServer
{
public:
    using Request = connection::http::Request;
    using Response = connection::http::Response;
    using Responder = connection::http::IHttpResponder;

    EngineServer(boost::asio::io_context &context, EngineOptions options, base::TimePoint now);

    auto start() -> void;
    auto handle(Request request, Responder &responder) -> boost::asio::awaitable<void>;

private:
    //! An order to load weights, or another one that is just taken.
    struct Order
    {
        std::string id;
        std::string kind;
        std::string model;
        std::uint64_t version = 0;
        std::string source;
    };

    auto runBatch() -> boost::asio::awaitable<void>;
    auto reportLoad() -> boost::asio::awaitable<void>;
    auto complete(Request request, Responder &responder) -> boost::asio::awaitable<void>;
    auto makeStream(const Request &request) -> StreamPtr;
    auto stream(StreamPtr stream, std::uint32_t first, std::uint32_t cached, Responder &responder)
        -> boost::asio::awaitable<void>;
    auto eventText(const StreamEvent &event) -> std::string;
    auto takeOrder(const std::string &body) -> Response;
    auto carryOut(Order order) -> boost::asio::awaitable<void>;
    auto readWeights(std::string source) -> boost::asio::awaitable<bool>;
    auto answer(const Request &request) -> Response;
    auto status() const -> Response;
    auto cacheEvents(const Request &request) const -> Response;
    auto cancel(const std::string &body) -> Response;
    auto cacheOf(const Request &request) -> Response;
    auto control(const std::string &body) -> Response;
    auto stats() const -> Response;
    auto crash() -> void;
    auto stepTime() const -> base::Duration;
    auto pause(base::Duration duration) -> boost::asio::awaitable<void>;
    auto thawed() -> boost::asio::awaitable<void>;
    auto now() const -> base::TimePoint;

    boost::asio::io_context &m_context;
    EngineOptions m_options;
    ColdStart m_life;
    Batch m_batch;
    PrefixCache m_cache;
    std::uint64_t m_version;
    std::map<std::string, std::uint32_t> m_runs;    //!< By request id.
    std::map<std::string, std::uint64_t> m_fencing; //!< Newest number, by model.
    std::map<std::string, std::string> m_imported;  //!< KV caches, by request id.
    std::set<std::string> m_orders;                 //!< Ids of orders taken.
    std::uint32_t m_reportedRunning = 0;
    std::uint64_t m_keysSeen = 0;
    std::uint64_t m_cancelled = 0;
    std::uint64_t m_refusedOrders = 0;
    std::uint64_t m_loadsToFail = 0;
    std::uint64_t m_answersToCut = 0;
    std::uint64_t m_mislabelled = 0;
    double m_slowFactor = 1;
    bool m_frozen = false;
    bool m_busy = false;
    bool m_mislabel = false;
};

} // namespace nutmegplank::standins
