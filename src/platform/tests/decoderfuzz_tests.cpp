// One malformed message took a whole process down. Each decoder that reads from outside gets valid
// messages with bytes and values changed, removed and repeated: it may refuse them, but neither
// throw nor ask for more memory than a message can need.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "platform/callprotocol.h"
#include "platform/directory.h"
#include "platform/operatorrecords.h"
#include "platform/serverprotocol.h"
#include "platform/serverrecords.h"
#include "request/rollout/eventreader.h"
#include "version/batch/batchcodec.h"
#include "version/batch/batchlog.h"
#include "version/metering/windowmeter.h"

using namespace nutmegplank;
using namespace nutmegplank::platform;

namespace {

constexpr auto CONFIGURATION =
    R"({"version":7,"routes":[{"name":"r1","host":"h","path_prefix":"/a/",
  "kind":"rollout","timeout_ms":1500,"target_latency_ms":150,"retention_s":40.0,"public":false,
  "traffic_split":[{"service":"x","weight":90}],"max_attempts":2,"single_version":true}],
  "services":[{"name":"x","max_connections":160,"cold_start_s":3.0,"cold_per_s":17.0,
  "engine":{"slots":16,"kv_cache_tokens":35986,"stride":42,"models":[{"name":"m"}]},
  "scaling":{"min":1,"max":4,"startup_s":4.0,"zone_prices":{"a":1.0}}}],
  "limits":{"max_header_bytes":100,"idle_timeout_ms":15000},
  "tenants":[{"name":"cafe","api_keys":["k1","k2"],"priority":1}]})";
constexpr auto SERVER = R"({"service":"s","address":"10.1.2.3:80","zone":"a","slots":16,
  "state":"draining","cold_remaining_ms":1500,"models":[{"name":"m","version":3}],
  "sequence":9,"born":1700000000123})";
constexpr auto SUBMISSION = R"({"step":7,"model":"m","min_version":6,"group_count":12,"items":[
  {"id":"i1","path":"/p/3/1","headers":{"X-Token-Usage":"540,400","X-Length-Hint":"120"},
   "body":"q83vEjRWeJA=","tokens":940,"group":"g",
   "scorer":{"id":"s1","host":"h","path":"/q/1","body":"3q2+7w=="}}]})";
constexpr auto EVENTS = "x-weight-versions: 3\nid: 1\ndata: one\n\nid: 2\ndata: two\n\n";
constexpr auto MUTATION_ROUNDS = 40;

//! What another writer may put where a number, text or list belongs.
const auto STRANGE_VALUES = std::vector<std::string> { "-1",
                                                       "1e308",
                                                       "18446744073709551615",
                                                       "9223372036854775808",
                                                       "0.5",
                                                       "null",
                                                       "[]",
                                                       "{}",
                                                       "true",
                                                       "\"\"",
                                                       "[[[[",
                                                       "\"\\ud800\"" };

auto mutate(std::string text) -> std::string
{
    const auto changes = *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(1, 6));
    for (auto change = 0; change < changes && !text.empty(); ++change) {
        const auto at =
            *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<std::size_t>(0, text.size()));
        const auto length =
            *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<std::size_t>(1, 12));
        switch (*rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, 5))) {
        case 0:
            text[at] = *rc::gen::arbitrary<char>();
            break;
        case 1:
            text.erase(at, length);
            break;
        case 2:
            text.insert(at, text.substr(at, length));
            break;
        case 3:
            text.resize(at);
            break;
        default: {
            // Replaces a whole number, if one follows.
            const auto begin = text.find_first_of("0123456789", at);
            if (begin == std::string::npos)
                break;
            const auto end = std::min(text.find_first_not_of("0123456789.", begin), text.size());
            text.replace(begin, end - begin, *rc::gen::elementOf(STRANGE_VALUES));
        }
        }
    }
    return text;
}

auto sampleSubmission() -> version::batch::Submission
{
    const auto protocol = CallProtocol();
    auto call = request::call::Call();
    call.requestId = "b";
    return *protocol.readSubmission(call, SUBMISSION);
}

} // namespace

RC_GTEST_PROP(DecoderFuzz, DecoderFuzz_OperatorRecords_AreRefusedOrRead, ())
{
    for (auto round = 0; round < MUTATION_ROUNDS; ++round) {
        const auto table = readConfiguration({ "config", mutate(CONFIGURATION), 41 });
        if (table.ok())
            RC_ASSERT(*table != nullptr);
        (void)readAnnouncedWeightVersion(
            { "version/m", mutate(R"({"model":"m","version":3})"), 1 });
    }
}

RC_GTEST_PROP(DecoderFuzz, DecoderFuzz_ServerRecords_AreRefusedOrRead, ())
{
    for (auto round = 0; round < MUTATION_ROUNDS; ++round) {
        const auto record = readServerRecord({ "i-1", mutate(SERVER), 5 });
        if (record.ok())
            RC_ASSERT(record->coldFor >= base::Duration(0));
    }
}

RC_GTEST_PROP(DecoderFuzz, DecoderFuzz_Calls_AreRefusedOrRead, ())
{
    const auto protocol = CallProtocol();
    for (auto round = 0; round < MUTATION_ROUNDS; ++round) {
        auto request = connection::http::Request();
        request.method = "GET";
        request.target = mutate("/v1/lots/b1?after=12&id=i7");
        request.headers = { { "X-Deadline-Ms", mutate("1500") },
                            { "X-Wait-Ms", mutate("1000") },
                            { "Authorization", mutate("Bearer secret") } };
        const auto call = protocol.readCall(request);
        (void)isDirectoryRequest(request);
        (void)protocol.readSubmission(call, mutate(SUBMISSION));
    }
}

RC_GTEST_PROP(DecoderFuzz, DecoderFuzz_ServerResponses_AreRefusedOrRead, ())
{
    for (auto round = 0; round < MUTATION_ROUNDS; ++round) {
        auto head = connection::http::Response();
        head.headers = { { "X-Weight-Versions", mutate("3") }, { "X-Request-Id", mutate("r1") } };
        (void)ServerProtocol().readHead(head);
        auto reader = request::rollout::EventReader("x-weight-versions");
        (void)reader.feed(mutate(EVENTS));
        (void)reader.atBoundary();
    }
}

RC_GTEST_PROP(DecoderFuzz, DecoderFuzz_LogRecords_AreRefusedOrRead, ())
{
    constexpr auto RECORD_BYTES = std::size_t(2048);
    const auto submission = sampleSubmission();
    auto log = version::batch::BatchLog();
    auto meter = version::metering::MeterLog();
    for (auto round = 0; round < MUTATION_ROUNDS; ++round) {
        log.apply({ 1, mutate(version::batch::encodeAccepted(submission, { 1, 2 }, "try")) });
        log.apply({ 2, mutate(version::batch::encodeListed("b", { 1, 2 }, { { 0, "i1" } })) });
        log.apply({ 3, mutate(version::batch::encodeListedProgress("b", { 1, 2 })) });
        log.apply({ 4, mutate(version::batch::encodeEnd("b")) });
        auto assembler = version::batch::SubmissionAssembler("b", "try");
        for (const auto &record : version::batch::encodeSubmission(submission, "try", RECORD_BYTES))
            assembler.addRecord(mutate(record));
        if (assembler.complete())
            (void)assembler.finish();
        (void)version::batch::decodeResults(
            mutate(version::batch::encodeResults("b", { { 0, "i1", false, "text", { 3 }, "s" } })),
            "b");
        (void)version::batch::decodeProgress(mutate(version::batch::encodeProgress(
                                                 "b", { { 0, 3, 3, "text", { 3 }, "1.0", true } })),
                                             "b");
        meter.apply({ 5, mutate(version::metering::encodeClosedWindow({ 7, { { "w", 3 } } })) });
    }
}

//! Counts in a record of the log size memory before anything else of the record is read.
TEST(DecoderFuzz, DecoderFuzz_HugeCounts_AreRefused)
{
    auto accepted = record::IndexRecord();
    accepted.mutable_accepted()->set_id("b");
    accepted.mutable_accepted()->set_item_count(4'000'000'000U);
    auto log = version::batch::BatchLog();
    log.apply({ 1, accepted.SerializeAsString() });
    EXPECT_EQ(log.find("b"), nullptr);
    auto part = record::BulkRecord();
    part.mutable_part()->set_batch_id("b");
    part.mutable_part()->set_attempt("try");
    part.mutable_part()->set_count(4'000'000'000U);
    auto assembler = version::batch::SubmissionAssembler("b", "try");
    assembler.addRecord(part.SerializeAsString());
    EXPECT_FALSE(assembler.complete());
}
