// The operators' command line against a running system: an intent becomes a
// plan, a confirmed plan is in force, and status shows members and queues.
#include "invariants/load.h"

namespace marigoldquay::testing {
namespace {

struct CommandResult {
  int exit_code = -1;
  std::string output;
};

class Client {
 public:
  explicit Client(System& system) : system_(system) {}

  CommandResult Run(std::vector<std::string> arguments) {
    arguments.push_back("--operator_address=" + system_.vm(0).operator_address);
    arguments.push_back(absl::StrCat("--token=", System::kOperatorToken));
    const auto log = absl::StrCat(MARIGOLDQUAY_TEST_LOGS, "/client-", getpid(), "-", ++runs_);
    Process process(MARIGOLDQUAY_CLIENT, arguments, log);
    const auto status = process.Wait(absl::Seconds(20));
    return {status.value_or(-1), process.Log()};
  }
  // Digest in the output of a command that makes a plan.
  static std::string Digest(const CommandResult& result) {
    const auto start = result.output.find("digest");
    if (start == std::string::npos) return "";
    for (auto i = start; i + 64 <= result.output.size(); ++i) {
      auto text = result.output.substr(i, 64);
      if (text.find_first_not_of("0123456789abcdef") == std::string::npos) return text;
    }
    return "";
  }

 private:
  System& system_;
  int runs_ = 0;
};

BOOST_AUTO_TEST_SUITE(operator_client)

// Fails if lists cannot be read, if a plan cannot be confirmed by its digest, or if a change that
// was reported as in force is not.
BOOST_AUTO_TEST_CASE(change_is_planned_confirmed_and_in_force) {
  TestSystem system;
  Client client(system);
  const auto workspaces = client.Run({"workspace", "list"});
  BOOST_TEST(workspaces.exit_code == 0, workspaces.output);
  BOOST_TEST(workspaces.output.find("w1") != std::string::npos);

  const auto plan =
      client.Run({"workspace", "create", "w7", "--weight=2", "--rate=5000", "--burst=20000"});
  BOOST_REQUIRE_MESSAGE(plan.exit_code == 0, plan.output);
  const auto digest = Client::Digest(plan);
  BOOST_REQUIRE_MESSAGE(!digest.empty(), plan.output);
  BOOST_TEST(client.Run({"workspace", "list"}).output.find("w7") == std::string::npos);
  const auto confirmed = client.Run({"confirm", digest});
  BOOST_TEST(confirmed.exit_code == 0, confirmed.output);
  BOOST_TEST(client.Run({"workspace", "list"}).output.find("w7") != std::string::npos);

  const auto leaving = client.Run({"backend", "change", "d1", "--state=leaving"});
  BOOST_REQUIRE_MESSAGE(leaving.exit_code == 0, leaving.output);
  BOOST_TEST(client.Run({"confirm", Client::Digest(leaving)}).exit_code == 0);
  for (const auto* kind : {"key", "pool", "backend", "route"}) {
    const auto list = client.Run({kind, "list"});
    BOOST_TEST(list.exit_code == 0, kind << ": " << list.output);
  }
}

BOOST_AUTO_TEST_CASE(status_and_report_show_the_system) {
  TestSystem system;
  Client client(system);
  BOOST_TEST(Fetch(system.CompletionRequest(0, "w1", "Hello", 4, true)).status == 200);
  const auto status = client.Run({"status"});
  BOOST_TEST(status.exit_code == 0, status.output);
  for (const auto* text : {"vm1", "vm3", "brief-writer", "d2"}) {
    BOOST_TEST(status.output.find(text) != std::string::npos, text << ": " << status.output);
  }
  const auto burn = client.Run({"report", "burn", "--json"});
  BOOST_TEST(burn.exit_code == 0, burn.output);
  BOOST_TEST(burn.output.find("first_token") != std::string::npos, burn.output);
}

// Fails if a wrong command or value is not told apart from a failure of the system.
BOOST_AUTO_TEST_CASE(mistakes_have_their_exit_codes) {
  TestSystem system;
  Client client(system);
  BOOST_TEST(client.Run({"workspace", "create", "w8", "--rate=-1"}).exit_code != 0);
  BOOST_TEST(client.Run({"workspace", "create", "w1", "--rate=5", "--burst=5"}).exit_code == 5);
  BOOST_TEST(client.Run({"workspace", "withdraw", "none"}).exit_code == 4);
  BOOST_TEST(client.Run({"confirm", std::string(64, '0')}).exit_code != 0);
  BOOST_TEST(client.Run({"confirm"}).exit_code == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay::testing
