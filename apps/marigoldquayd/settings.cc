// Flags of the daemon.
#include "settings.h"

#include <arpa/inet.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <optional>
#include <sstream>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"

DEFINE_string(vm_id, "", "Name of this VM, unique in the deployment");
DEFINE_string(availability_zone, "", "Availability zone of this VM");
DEFINE_string(region, "", "Region of this VM");
DEFINE_int32(vm_size, 1, "Relative size of this VM, 1 to 1000");
DEFINE_string(caller_listen, "127.0.0.1:8080",
              "IPv4 address and port for callers; port 0 picks one");
DEFINE_string(caller_advertise, "", "Address given to callers; default: the bound address");
DEFINE_string(inner_listen, "127.0.0.1:7070", "IPv4 address and port for other VMs");
DEFINE_string(inner_advertise, "", "Address given to other VMs; default: the bound address");
DEFINE_string(operator_listen, "127.0.0.1:9090", "IPv4 address and port for operators");
DEFINE_string(operator_token, "", "Token that operators must present, at least 16 bytes");
DEFINE_string(log_url, "", "URL of the platform's log, http://HOST:PORT");
DEFINE_string(vm_list_url, "", "URL of the platform's list of VMs, http://HOST:PORT");
DEFINE_string(seed_peers, "", "Inner addresses of some other VMs, comma-separated");
DEFINE_string(log_level, "info", "debug, info, warn or error");
DEFINE_bool(log_json, false, "Log one JSON object per line");
DEFINE_string(tls_certificate_file, "", "PEM certificate for callers; needs --tls_key_file");
DEFINE_string(tls_key_file, "", "PEM private key for callers; needs --tls_certificate_file");
DEFINE_int32(max_connections, 2048, "Caller connections, 1 to 20000");
DEFINE_int64(max_body_bytes, 1 << 20, "Largest request body in bytes, 1024 to 3145728");
DEFINE_int32(max_completions, 1024, "Completions running at once, 1 to 20000");
DEFINE_int32(completion_timeout_s, 120, "Longest time for a completion in seconds, 1 to 3600");
DEFINE_int32(plain_timeout_s, 15,
             "Longest time for a call to a plain service in seconds, 1 to 600");
DEFINE_int32(address_max_age_s, 10, "How long callers may keep addresses, in seconds, 1 to 300");
DEFINE_int32(drain_timeout_s, 600, "Longest time for a drain in seconds, 1 to 86400");
DEFINE_string(placement_policy, "reservation",
              "reservation, or a baseline for comparison: round_robin, least_reported_load, "
              "least_outstanding_of_two");
DEFINE_string(node_file, "",
              "Settings file of the users' platform; only --log_level counts beside it");
DEFINE_bool(check, false, "Check the settings, print them and exit");

namespace marigoldquay {
namespace {

constexpr char kStep[] = "read settings";

// Collects the first failed check.
class Checker {
 public:
  void Require(bool valid, absl::string_view flag, absl::string_view value,
               absl::string_view allowed) {
    if (valid || error_) return;
    error_ = absl::StrCat("--", flag, "=", value, " is not allowed; allowed: ", allowed);
  }
  void Text(absl::string_view flag, const std::string& value) {
    Require(!value.empty() && value.size() <= 128 && value.find_first_of(" /,\"\n") == value.npos,
            flag, value, "1 to 128 bytes without space, comma, slash and quote");
  }
  void Range(absl::string_view flag, std::int64_t value, std::int64_t low, std::int64_t high) {
    Require(value >= low && value <= high, flag, absl::StrCat(value),
            absl::StrCat(low, " to ", high));
  }
  void IpAddress(absl::string_view flag, const std::string& value, bool port_zero) {
    const auto colon = value.rfind(':');
    int port = -1;
    in_addr parsed{};
    const bool valid = colon != std::string::npos &&
                       absl::SimpleAtoi(value.substr(colon + 1), &port) &&
                       port >= (port_zero ? 0 : 1) && port <= 65535 &&
                       inet_pton(AF_INET, value.substr(0, colon).c_str(), &parsed) == 1;
    Require(valid, flag, value,
            absl::StrCat("an IPv4 address and a port from ", port_zero ? 0 : 1, " to 65535"));
  }
  void Url(absl::string_view flag, const std::string& value) {
    Require(absl::StartsWith(value, "http://") || absl::StartsWith(value, "https://"), flag, value,
            "a URL that starts with http:// or https://");
  }
  void OneOf(absl::string_view flag, const std::string& value,
             const std::vector<std::string>& allowed) {
    Require(std::find(allowed.begin(), allowed.end(), value) != allowed.end(), flag, value,
            absl::StrJoin(allowed, ", "));
  }
  const std::optional<std::string>& error() const { return error_; }

 private:
  std::optional<std::string> error_;
};

Result<void> ApplyEnvironment() {
  std::vector<gflags::CommandLineFlagInfo> flags;
  gflags::GetAllFlags(&flags);
  for (const auto& flag : flags) {
    if (!absl::EndsWith(flag.filename, "settings.cc")) continue;
    const auto variable = absl::StrCat("MARIGOLDQUAY_", absl::AsciiStrToUpper(flag.name));
    const char* value = std::getenv(variable.c_str());
    if (value == nullptr) continue;
    if (gflags::SetCommandLineOptionWithMode(flag.name.c_str(), value, gflags::SET_FLAGS_DEFAULT)
            .empty()) {
      return Fail(ErrorCode::kInvalidArgument, kStep, "",
                  absl::StrCat(variable, "=", value, " is not allowed; allowed: a value of type ",
                               flag.type));
    }
  }
  return {};
}

Result<std::string> ReadFile(absl::string_view flag, const std::string& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  if (!file || text.str().empty()) {
    return Fail(ErrorCode::kInvalidArgument, kStep, "",
                absl::StrCat("--", flag, "=", path, " is not allowed; allowed: a readable file"));
  }
  return text.str();
}

void CheckFlags(Checker& checker) {
  checker.OneOf("log_level", FLAGS_log_level, {"debug", "info", "warn", "error"});
  // The settings file takes the place of the other flags and is checked when it is read.
  if (!FLAGS_node_file.empty()) return;
  checker.Text("vm_id", FLAGS_vm_id);
  checker.Text("availability_zone", FLAGS_availability_zone);
  checker.Text("region", FLAGS_region);
  checker.Range("vm_size", FLAGS_vm_size, 1, 1000);
  checker.IpAddress("caller_listen", FLAGS_caller_listen, true);
  checker.IpAddress("inner_listen", FLAGS_inner_listen, true);
  checker.IpAddress("operator_listen", FLAGS_operator_listen, true);
  if (!FLAGS_caller_advertise.empty()) {
    checker.IpAddress("caller_advertise", FLAGS_caller_advertise, false);
  }
  if (!FLAGS_inner_advertise.empty()) {
    checker.IpAddress("inner_advertise", FLAGS_inner_advertise, false);
  }
  checker.Require(FLAGS_operator_token.size() >= 16, "operator_token",
                  FLAGS_operator_token.empty() ? "" : "(set)", "at least 16 bytes");
  checker.Url("log_url", FLAGS_log_url);
  if (!FLAGS_vm_list_url.empty()) checker.Url("vm_list_url", FLAGS_vm_list_url);
  for (const auto& peer : absl::StrSplit(FLAGS_seed_peers, ',', absl::SkipEmpty())) {
    checker.IpAddress("seed_peers", std::string(peer), false);
  }
  checker.Require(FLAGS_tls_certificate_file.empty() == FLAGS_tls_key_file.empty(),
                  "tls_certificate_file", FLAGS_tls_certificate_file,
                  "a file, together with --tls_key_file");
  checker.Range("max_connections", FLAGS_max_connections, 1, 20000);
  checker.Range("max_body_bytes", FLAGS_max_body_bytes, 1024, 3 << 20);
  checker.Range("max_completions", FLAGS_max_completions, 1, 20000);
  checker.Range("completion_timeout_s", FLAGS_completion_timeout_s, 1, 3600);
  checker.Range("plain_timeout_s", FLAGS_plain_timeout_s, 1, 600);
  checker.Range("address_max_age_s", FLAGS_address_max_age_s, 1, 300);
  checker.Range("drain_timeout_s", FLAGS_drain_timeout_s, 1, 86400);
  checker.OneOf("placement_policy", FLAGS_placement_policy,
                {"reservation", "round_robin", "least_reported_load", "least_outstanding_of_two"});
}

Settings FromFlags() {
  Settings settings;
  settings.vm_id = FLAGS_vm_id;
  settings.availability_zone = FLAGS_availability_zone;
  settings.region = FLAGS_region;
  settings.vm_size = FLAGS_vm_size;
  settings.caller_listen = FLAGS_caller_listen;
  settings.caller_advertise = FLAGS_caller_advertise;
  settings.inner_listen = FLAGS_inner_listen;
  settings.inner_advertise = FLAGS_inner_advertise;
  settings.operator_listen = FLAGS_operator_listen;
  settings.operator_token = FLAGS_operator_token;
  settings.log_url = FLAGS_log_url;
  settings.vm_list_url = FLAGS_vm_list_url;
  settings.seed_peers = absl::StrSplit(FLAGS_seed_peers, ',', absl::SkipEmpty());
  settings.log_level = FLAGS_log_level;
  settings.log_json = FLAGS_log_json;
  settings.max_connections = FLAGS_max_connections;
  settings.max_body_bytes = static_cast<std::size_t>(FLAGS_max_body_bytes);
  settings.max_completions = FLAGS_max_completions;
  settings.completion_timeout = absl::Seconds(FLAGS_completion_timeout_s);
  settings.plain_timeout = absl::Seconds(FLAGS_plain_timeout_s);
  settings.address_max_age = absl::Seconds(FLAGS_address_max_age_s);
  settings.drain_timeout = absl::Seconds(FLAGS_drain_timeout_s);
  settings.placement_policy = FLAGS_placement_policy;
  settings.node_file = FLAGS_node_file;
  settings.check = FLAGS_check;
  return settings;
}

}  // namespace

Result<Settings> LoadSettings(int argc, char** argv) {
  BOOST_LEAF_CHECK(ApplyEnvironment());
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (argc > 1) {
    return Fail(ErrorCode::kInvalidArgument, kStep, "",
                absl::StrCat("unexpected argument \"", argv[1], "\"; allowed: flags only"));
  }
  Checker checker;
  CheckFlags(checker);
  if (checker.error()) return Fail(ErrorCode::kInvalidArgument, kStep, "", *checker.error());
  auto settings = FromFlags();
  if (!FLAGS_tls_certificate_file.empty()) {
    BOOST_LEAF_ASSIGN(settings.tls_certificate,
                      ReadFile("tls_certificate_file", FLAGS_tls_certificate_file));
    BOOST_LEAF_ASSIGN(settings.tls_private_key, ReadFile("tls_key_file", FLAGS_tls_key_file));
  }
  return settings;
}

std::string DescribeSettings(const Settings& settings) {
  std::vector<gflags::CommandLineFlagInfo> flags;
  gflags::GetAllFlags(&flags);
  std::string text;
  for (const auto& flag : flags) {
    if (!absl::EndsWith(flag.filename, "settings.cc") || flag.name == "check") continue;
    const bool secret = flag.name == "operator_token" && !settings.operator_token.empty();
    absl::StrAppend(&text, flag.name, "=", secret ? "(set)" : flag.current_value, "\n");
  }
  return text;
}

}  // namespace marigoldquay
