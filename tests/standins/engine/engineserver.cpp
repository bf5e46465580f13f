#include "engine/engineserver.h"

#include "base/jsonreader.h"
#include "engine/jsonfields.h"
#include "process/clock/clock.h"
#include "standins/common/callerkeys.h"
#include "standins/common/tokens.h"

namespace nutmegplank::standins {

namespace {

namespace asio = boost::asio;
namespace http = connection::http;
namespace json = boost::json;

constexpr auto FREEZE_CHECK = std::chrono::milliseconds(20);
constexpr auto NUMBER_RANGE = base::IntegerRange { 0, std::numeric_limits<std::int64_t>::max() };
constexpr auto COUNT_RANGE = base::IntegerRange { 0, 1'000'000 };
constexpr auto SLOWEST = 1000.0;
constexpr auto STATUS_BUSY = 503U;
constexpr auto COLD_FACTOR = 4;        //!< A cold engine is this much slower.
constexpr auto PREFIX_CHARACTERS = 32; //!< Of a prompt whose prefix has no name.
constexpr auto CHARACTERS_A_TOKEN = 4; //!< Of a prompt.
constexpr auto KILLER_WORD = "CRASH";
constexpr auto KV_PATH = std::string_view("/v1/kv/");

auto resumedAt(const json::object &body) -> std::uint32_t
{
    const auto *resume = body.if_contains("resume");
    if (resume == nullptr || !resume->is_object())
        return 0;
    const auto *ranges = resume->get_object().if_contains("ranges");
    auto tokens = std::uint64_t(0);
    if (ranges != nullptr && ranges->is_array()) {
        for (const auto &range : ranges->get_array())
            tokens += numberIn(range.as_object(), "token_count");
    }
    return static_cast<std::uint32_t>(tokens);
}

} // namespace

EngineServer::EngineServer(asio::io_context &context, EngineOptions options, base::TimePoint now)
    : m_context(context)
    , m_options(std::move(options))
    , m_life(m_options.cold, now)
    , m_batch(m_options.batchWidth)
    , m_cache(m_options.cache)
    , m_version(m_options.version)
{ }

auto EngineServer::now() const -> base::TimePoint
{
    return process::clock::now();
}

auto EngineServer::start() -> void
{
    asio::co_spawn(m_context, runBatch(), asio::detached);
    asio::co_spawn(m_context, reportLoad(), asio::detached);
}

auto EngineServer::pause(base::Duration duration) -> asio::awaitable<void>
{
    auto timer = asio::steady_timer(m_context);
    timer.expires_after(duration);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

auto EngineServer::thawed() -> asio::awaitable<void>
{
    while (m_frozen)
        co_await pause(FREEZE_CHECK);
}

auto EngineServer::stepTime() const -> base::Duration
{
    const auto others = m_batch.size() > 0 ? static_cast<double>(m_batch.size() - 1) : 0.0;
    const auto growth = 1 + m_options.stepGrowth * others;
    const auto factor = m_life.isCold(now()) ? COLD_FACTOR : 1;
    const auto step = static_cast<double>(m_options.step.count());
    return base::Duration(static_cast<std::int64_t>(step * growth * factor * m_slowFactor));
}

auto EngineServer::runBatch() -> asio::awaitable<void>
{
    while (true) {
        co_await pause(stepTime());
        co_await thawed();
        m_batch.step(m_version, now());
    }
}

auto EngineServer::reportLoad() -> asio::awaitable<void>
{
    while (true) {
        const auto running = m_life.running();
        co_await pause(m_options.reportDelay);
        m_reportedRunning = running;
    }
}

auto EngineServer::crash() -> void
{
    m_life.restart(now());
    m_batch.crash();
    m_cache.clear();
    m_imported.clear();
    m_reportedRunning = 0;
}

auto EngineServer::handle(Request request, Responder &responder) -> asio::awaitable<void>
{
    const auto path = std::string(http::pathOf(request.target));
    if (path == "/control" || path == "/stats") {
        auto response = path == "/control" ? control(request.body) : stats();
        (void)co_await responder.respond(std::move(response));
        co_return;
    }
    if (carriesKey(request))
        ++m_keysSeen;
    co_await thawed();
    if (path == "/v1/completions") {
        co_await complete(std::move(request), responder);
        co_return;
    }
    auto response = answer(request);
    response.headers.push_back({ "X-Boot-Id", m_life.bootId() });
    (void)co_await responder.respond(std::move(response));
}

auto EngineServer::answer(const Request &request) -> Response
{
    const auto path = http::pathOf(request.target);
    if (path == "/v1/status")
        return status();
    if (path == "/v1/cache_events")
        return cacheEvents(request);
    if (path == "/v1/cancel")
        return cancel(request.body);
    if (path == "/v1/orders")
        return takeOrder(request.body);
    if (path.starts_with(KV_PATH))
        return cacheOf(request);
    return http::jsonResponse(404, R"({"error":"unknown path"})");
}

auto EngineServer::makeStream(const Request &request) -> StreamPtr
{
    auto error = json::error_code();
    const auto parsed = json::parse(request.body, error);
    if (error || !parsed.is_object())
        return nullptr;
    const auto &body = parsed.get_object();
    auto stream = std::make_shared<Stream>(m_context.get_executor());
    stream->id = http::headerValue(request.headers, "X-Request-Id");
    stream->prompt = textIn(body, "prompt");
    stream->seed = numberIn(body, "seed");
    stream->priority = static_cast<std::uint32_t>(numberIn(body, "priority"));
    stream->next = resumedAt(body);
    stream->last = static_cast<std::uint32_t>(numberIn(body, "max_tokens"));
    return stream;
}

auto EngineServer::complete(Request request, Responder &responder) -> asio::awaitable<void>
{
    auto stream = makeStream(request);
    if (stream == nullptr) {
        (void)co_await responder.respond(http::jsonResponse(400, R"({"error":"no JSON"})"));
        co_return;
    }
    if (m_busy || m_life.running() >= m_options.mostRunning) {
        auto refusal = http::jsonResponse(STATUS_BUSY, R"({"error":"busy"})");
        refusal.headers.push_back({ "X-Not-Run", "true" });
        refusal.headers.push_back({ "X-Boot-Id", m_life.bootId() });
        (void)co_await responder.respond(std::move(refusal));
        co_return;
    }
    ++m_runs[stream->id];
    const auto bootId = m_life.bootId();
    const auto kills = stream->prompt.find(KILLER_WORD) != std::string::npos;
    if (!m_life.begin(now()) || kills) {
        crash();
        responder.abort();
        co_return;
    }
    auto prefixKey = http::headerValue(request.headers, "X-Prefix-Key");
    if (prefixKey.empty())
        prefixKey = hashHex(stream->prompt.substr(0, PREFIX_CHARACTERS));
    const auto cached = m_cache.use(prefixKey, now()) || m_imported.contains(stream->id);
    stream->readyAt = cached ? now() : now() + m_options.prefill;
    const auto promptTokens =
        static_cast<std::uint32_t>(stream->prompt.size() / CHARACTERS_A_TOKEN);
    const auto first = stream->next;
    m_batch.add(stream);
    co_await this->stream(stream, first, cached ? promptTokens : 0, responder);
    m_life.end(bootId);
}

auto EngineServer::stream(StreamPtr stream, std::uint32_t first, std::uint32_t cached,
                          Responder &responder) -> asio::awaitable<void>
{
    auto head = Response();
    head.headers = { { "Content-Type", "text/event-stream" }, { "X-Boot-Id", m_life.bootId() } };
    auto sent = co_await responder.startStream(std::move(head));
    while (sent.ok()) {
        co_await thawed();
        auto text = std::string();
        for (; !stream->events.empty(); stream->events.pop_front())
            text += eventText(stream->events.front());
        if (!text.empty()) {
            sent = co_await responder.writeChunk(text);
            continue;
        }
        if (stream->end != StreamEnd::Open)
            break;
        co_await stream->changed.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    if (!sent.ok()) {
        m_batch.cancel(stream->id);
        co_return;
    }
    const auto cuts = m_answersToCut > 0;
    if (cuts)
        --m_answersToCut;
    if (stream->end == StreamEnd::Crashed) {
        responder.abort();
        co_return;
    }
    if (stream->end == StreamEnd::Whole && !cuts) {
        const auto totals =
            json::object { { "done", true },
                           { "prompt_tokens", stream->prompt.size() / CHARACTERS_A_TOKEN },
                           { "generated_tokens", stream->next - first },
                           { "cached_tokens", cached } };
        const auto end = base::concat("data: ", json::serialize(totals), "\n\ndata: [DONE]\n\n");
        (void)co_await responder.writeChunk(end);
    }
    (void)co_await responder.endStream();
}

auto EngineServer::eventText(const StreamEvent &event) -> std::string
{
    auto object = json::object { { "index", event.index },
                                 { "tokens", json::array { event.token } },
                                 { "weight_version", event.weightVersion } };
    if (m_mislabel && event.index > 0) {
        // In turn: no version, and a position that leaves a gap.
        if (m_mislabelled++ % 2 == 0)
            object.erase("weight_version");
        else
            object["index"] = event.index + 1;
    }
    return base::concat("data: ", json::serialize(object), "\n\n");
}

auto EngineServer::status() const -> Response
{
    const auto status = json::object { { "boot_id", m_life.bootId() },
                                       { "running", m_reportedRunning },
                                       { "weight_version", m_version },
                                       { "model", m_options.model },
                                       { "cold", m_life.isCold(now()) } };
    return http::jsonResponse(200, json::serialize(status));
}

auto EngineServer::cacheEvents(const Request &request) const -> Response
{
    const auto from = std::strtoull(http::queryValue(request.target, "from").c_str(), nullptr, 10);
    auto next = static_cast<std::uint64_t>(from);
    auto events = json::array();
    for (const auto &event : m_cache.events(from, now())) {
        events.push_back({ { "sequence", event.sequence },
                           { "kind", event.stored ? "stored" : "evicted" },
                           { "prefix_key", event.prefixKey } });
        next = event.sequence + 1;
    }
    const auto answer = json::object { { "events", events }, { "next", next } };
    return http::jsonResponse(200, json::serialize(answer));
}

auto EngineServer::cancel(const std::string &body) -> Response
{
    const auto parsed = base::parseJson(body);
    if (!parsed.ok() || !parsed->is_object())
        return http::jsonResponse(400, R"({"error":"no JSON"})");
    const auto found = m_batch.cancel(textIn(parsed->get_object(), "request_id"));
    m_cancelled += found ? 1 : 0;
    return http::jsonResponse(found ? 200 : 404, "{}");
}

auto EngineServer::cacheOf(const Request &request) -> Response
{
    const auto id = std::string(http::pathOf(request.target).substr(KV_PATH.size()));
    if (request.method == "PUT") {
        m_imported[id] = request.body;
        return http::jsonResponse(200, "{}");
    }
    const auto stream = m_batch.find(id);
    if (stream == nullptr)
        return http::jsonResponse(404, R"({"error":"no such request"})");
    const auto cache = json::object { { "request_id", id },
                                      { "prompt", stream->prompt },
                                      { "text", stream->text },
                                      { "tokens", stream->next } };
    return http::jsonResponse(200, json::serialize(cache));
}

auto EngineServer::control(const std::string &body) -> Response
{
    const auto parsed = base::parseJson(body);
    if (!parsed.ok())
        return http::jsonResponse(400, R"({"error":"no JSON"})");
    auto reader = base::ObjectReader(*parsed, "control");
    m_frozen = reader.boolean("freeze", m_frozen);
    m_busy = reader.boolean("busy", m_busy);
    m_mislabel = reader.boolean("mislabel", m_mislabel);
    m_slowFactor = reader.number("slow_factor", 0.01, SLOWEST, m_slowFactor);
    const auto toFail = static_cast<std::int64_t>(m_loadsToFail);
    m_loadsToFail = static_cast<std::uint64_t>(reader.integer("fail_loads", COUNT_RANGE, toFail));
    const auto toCut = static_cast<std::int64_t>(m_answersToCut);
    m_answersToCut = static_cast<std::uint64_t>(reader.integer("cut_answers", COUNT_RANGE, toCut));
    const auto version = static_cast<std::int64_t>(m_version);
    m_version = static_cast<std::uint64_t>(reader.integer("weight_version", NUMBER_RANGE, version));
    const auto cold = reader.boolean("cold", false);
    const auto restart = reader.boolean("restart", false);
    if (!reader.finish().ok())
        return http::jsonResponse(400, R"({"error":"unknown field"})");
    if (cold)
        m_life.chill(now());
    if (restart)
        crash();
    return http::jsonResponse(200, "{}");
}

auto EngineServer::stats() const -> Response
{
    auto runs = json::object();
    for (const auto &[id, count] : m_runs)
        runs[id] = count;
    const auto stats = json::object { { "requests", runs },
                                      { "keys_seen", m_keysSeen },
                                      { "running", m_life.running() },
                                      { "restarts", m_life.restarts() },
                                      { "max_running_cold", m_life.maxWhileCold() },
                                      { "cold", m_life.isCold(now()) },
                                      { "boot_id", m_life.bootId() },
                                      { "weight_version", m_version },
                                      { "tokens", m_batch.tokens() },
                                      { "cancelled", m_cancelled },
                                      { "orders", m_orders.size() },
                                      { "refused_orders", m_refusedOrders } };
    return http::jsonResponse(200, json::serialize(stats));
}

} // namespace nutmegplank::standins
