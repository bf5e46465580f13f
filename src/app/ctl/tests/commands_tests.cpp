#include "app/ctl/commands.h"

#include <filesystem>
#include <fstream>
#include <iostream>

#include "app/ctl/table.h"
#include "process/admin/tests/adminfixture.h"

using namespace nutmegplank;
using namespace nutmegplank::app::ctl;
namespace json = boost::json;

namespace {

constexpr auto DECLARATIONS = R"({
  // Two zones and one workspace.
  "workspaces": [{"name": "quotes", "weight": 2}],
  "services": [{"name": "desk", "kind": "plain"}],
  "routes": [{"name": "orders", "path_prefix": "/orders", "service": "desk"}],
  "zones": [{"name": "a"}, {"name": "b"}],
  "presets": [{"name": "ordinary", "targets": [{"service": "desk", "servers": 2}]}, {"name": "peak"}],
  "preset_in_force": "ordinary",
})";

//! Commands before a controller's interface, with standard output caught.
class CtlTest : public process::admin::AdminTest
{
protected:
    auto SetUp() -> void override
    {
        AdminTest::SetUp();
        m_folder = std::filesystem::path(testing::TempDir())
            / testing::UnitTest::GetInstance()->current_test_info()->name();
        std::filesystem::create_directories(m_folder);
        write("declarations.json", DECLARATIONS);
        std::ofstream(m_folder / "operator.key") << process::admin::KEY << "\n";
    }
    auto TearDown() -> void override
    {
        AdminTest::TearDown();
        std::filesystem::remove_all(m_folder);
    }
    auto write(const std::string &name, const std::string &text) -> void
    {
        std::ofstream(m_folder / name) << text;
    }
    //! Runs the command line given as words and keeps what it printed.
    auto run(std::vector<std::string> words) -> ExitCode
    {
        words.push_back("--controllers=" + m_address);
        words.push_back("--operator-key-file=" + (m_folder / "operator.key").string());
        words.push_back("--json");
        auto options = parseOptions(words);
        if (!options.ok())
            return ExitCode::BadInput;
        auto context = makeContext(*options).value();
        auto caught = std::ostringstream();
        auto *const before = std::cout.rdbuf(caught.rdbuf());
        const auto code = runCommand(context);
        std::cout.rdbuf(before);
        m_output = caught.str();
        return code;
    }
    auto applyAll() -> ExitCode { return run({ "apply", m_folder.string(), "--why=test" }); }
    auto state() -> version::configuration::ConfigurationPtr
    {
        return m_log->state()->configuration;
    }

    std::filesystem::path m_folder;
    std::string m_output;
};

} // namespace

TEST_F(CtlTest, Ctl_Apply_PutsDeclarationsInForceAndExportGivesThemBack)
{
    ASSERT_EQ(applyAll(), ExitCode::Done);
    EXPECT_TRUE(json::parse(m_output).at("accepted").as_bool());
    EXPECT_EQ(state()->workspaces.at("quotes").weight, 2U);
    const auto version = state()->version;
    EXPECT_EQ(applyAll(), ExitCode::Done);
    EXPECT_EQ(state()->version, version) << "nothing to change";
    ASSERT_EQ(run({ "export" }), ExitCode::Done);
    write("declarations.json", m_output);
    ASSERT_EQ(run({ "plan", m_folder.string() }), ExitCode::Done);
    EXPECT_TRUE(json::parse(m_output).at("changes").as_array().empty());
}

TEST_F(CtlTest, Ctl_Key_GrantPrintsItOnceAndWithdrawKeepsItsHash)
{
    ASSERT_EQ(applyAll(), ExitCode::Done);
    ASSERT_EQ(run({ "key", "grant", "quotes", "--id=k1" }), ExitCode::Done);
    const auto key = std::string(json::parse(m_output).at("key").as_string());
    EXPECT_EQ(state()->keysByHash.at(base::sha256Hex(key)).workspace, "quotes");
    EXPECT_EQ(call("GET", "state").body.find(key), std::string::npos);
    EXPECT_EQ(run({ "key", "grant", "quotes", "--id=k1" }), ExitCode::BadInput);
    EXPECT_EQ(run({ "key", "grant", "nobody" }), ExitCode::BadInput);
    ASSERT_EQ(run({ "key", "withdraw", "k1" }), ExitCode::Done);
    EXPECT_TRUE(state()->keysByHash.at(base::sha256Hex(key)).withdrawn);
}

TEST_F(CtlTest, Ctl_Switches_PresetAndZoneAreInForceAndAudited)
{
    ASSERT_EQ(applyAll(), ExitCode::Done);
    EXPECT_EQ(run({ "preset", "use", "peak", "--why=fair" }), ExitCode::Done);
    EXPECT_EQ(state()->presetInForce, "peak");
    EXPECT_EQ(run({ "preset", "use", "none" }), ExitCode::BadInput);
    EXPECT_EQ(run({ "zone", "out", "a" }), ExitCode::Done);
    EXPECT_TRUE(state()->isZoneOut("a"));
    EXPECT_EQ(run({ "zone", "back", "a" }), ExitCode::Done);
    EXPECT_FALSE(state()->isZoneOut("a"));
    ASSERT_EQ(run({ "audit" }), ExitCode::Done);
    const auto entries = json::parse(m_output).at("entries").as_array();
    ASSERT_EQ(entries.size(), 4U);
    EXPECT_EQ(entries[1].at("what").as_string(), "preset.use");
    EXPECT_EQ(entries[1].at("why").as_string(), "fair");
}

TEST_F(CtlTest, Ctl_ExitCodes_TellConflictBadInputAndNotInForceApart)
{
    ASSERT_EQ(applyAll(), ExitCode::Done);
    const auto version = state()->version;
    EXPECT_EQ(run({ "zone", "out", "a", "--base-version=0" }), ExitCode::Conflict);
    EXPECT_EQ(state()->version, version);
    EXPECT_EQ(run({ "zone", "away", "a" }), ExitCode::BadInput);
    auto behind = process::membership::Member();
    behind.id = "gateway-1";
    behind.configurationVersion = version;
    behind.lastHeard = process::clock::now() + std::chrono::hours(1);
    m_membership.setOther(behind);
    EXPECT_EQ(run({ "zone", "out", "a", "--timeout=500ms" }), ExitCode::NotInForce);
    EXPECT_TRUE(state()->isZoneOut("a")) << "it stands in the log all the same";
    write("operator.key", "wrong");
    EXPECT_EQ(run({ "status" }), ExitCode::BadInput);
    write("declarations.json", R"({"zones": [{"nam": "a"}]})");
    EXPECT_EQ(run({ "validate", m_folder.string() }), ExitCode::BadInput);
}

TEST(Table, Table_Render_AlignsColumns)
{
    auto table = Table({ "A", "B" });
    table.add({ "éé", "x" });
    EXPECT_EQ(table.render(), "A   B\néé  x\n");
}

TEST_F(CtlTest, Ctl_Check_NamesFindingsAndWhatDiffersFromTheVersionInForce)
{
    ASSERT_EQ(applyAll(), ExitCode::Done);
    write("more.json", R"({"services": [{"name": "spare"}], "zones": [{"name": "c"}]})");
    EXPECT_EQ(run({ "check", m_folder.string() }), ExitCode::BadInput);
    const auto report = json::parse(m_output);
    const auto &findings = report.at("findings").as_array();
    ASSERT_EQ(findings.size(), 2U); // The workspace has no key.
    EXPECT_EQ(findings[1].at("place").as_string(), "service \"spare\"");
    EXPECT_EQ(findings[1].at("kind").as_string(), "never_matches");
    const auto &differences = report.at("differences").as_array();
    ASSERT_EQ(differences.size(), 2U);
    EXPECT_EQ(differences[0].as_string(), "add service spare");
    EXPECT_EQ(differences[1].as_string(), "add zone c");
}

TEST_F(CtlTest, Ctl_Check_ListsAllErrors)
{
    write("wrong.json", R"({"zones": [{"nam": "c"}], "services": [{"name": "s", "kind": "x"}]})");
    EXPECT_EQ(run({ "check", m_folder.string() }), ExitCode::BadInput);
    EXPECT_EQ(json::parse(m_output).at("findings").as_array().size(), 2U);
}

TEST_F(CtlTest, Ctl_CheckRecord_ComparesWithTheRecordInForce)
{
    const auto record = [](int version, int timeoutMs) {
        return R"({"version":)" + std::to_string(version) + R"(,"services":[{"name":"s"}],"routes":[
            {"name":"r","host":"h","path_prefix":"/a/","kind":"safe","service":"s","max_attempts":2,
             "target_latency_ms":100,"timeout_ms":)"
            + std::to_string(timeoutMs) + "}]}";
    };
    write("now.json", record(7, 2000));
    write("next.json", record(8, 50));
    EXPECT_EQ(run({ "check-record", (m_folder / "next.json").string(),
                    "--in-force=" + (m_folder / "now.json").string() }),
              ExitCode::BadInput);
    const auto report = json::parse(m_output);
    ASSERT_EQ(report.at("findings").as_array().size(), 1U);
    EXPECT_EQ(report.at("findings").at(0).at("kind").as_string(), "contradiction");
    EXPECT_EQ(report.at("differences").as_array().size(), 1U);
}
