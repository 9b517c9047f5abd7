// Flags and start of the operators' command line.
#include <gflags/gflags.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>
#include <vector>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "commands.h"
#include "marigoldquay/core/logger.h"

DEFINE_string(operator_address, "127.0.0.1:7200",
              "operator addresses of VMs, host:port or URL, separated by commas");
DEFINE_string(token, "", "operators' token; the environment keeps it out of process lists");
DEFINE_string(token_file, "", "file that holds the operators' token");
DEFINE_int32(timeout_s, 30, "longest wait for an answer in seconds, 1 to 600");
DEFINE_bool(json, false, "print answers and errors as JSON");

DEFINE_int32(weight, 1, "workspace: share under contention, 1 to 1000");
DEFINE_int64(rate, 1, "workspace: tokens per second, 1 to 10^9");
DEFINE_int64(burst, 1, "workspace: tokens, 1 to 10^10");
DEFINE_string(workspace, "", "key, report burn: id of the workspace");
DEFINE_string(kind, "model", "pool: model or plain");
DEFINE_string(model, "", "pool: name that callers put into \"model\"");
DEFINE_int32(first_token_ms, 430, "pool: latency target of the first token, 1 to 600000");
DEFINE_int32(between_tokens_ms, 49, "pool: latency target between tokens, 1 to 600000");
DEFINE_bool(serve_late, false, "pool: serve completions that miss their target late");
DEFINE_string(pool, "", "backend, route: id of the pool");
DEFINE_string(role, "both", "backend: prefill, decode, both or plain");
DEFINE_string(address, "", "backend: host:port");
DEFINE_int64(link_bytes_per_s, 0, "backend: rate of its transfer link, 0 when unknown");
DEFINE_string(state, "active", "backend: active or leaving");
DEFINE_bool(checks_fencing, false, "backend: rejects orders with an old fencing number");
DEFINE_string(methods, "", "route: allowed methods, separated by commas");
DEFINE_bool(idempotent, true, "route: whether requests may be repeated");
DEFINE_bool(open, false, "route: open to callers without a key");

namespace marigoldquay {
namespace {

template <std::int64_t kLow, std::int64_t kHigh, class Number>
bool InRange(const char* flag, Number value) {
  if (value >= kLow && value <= kHigh) return true;
  std::cerr << "--" << flag << "=" << value << ", allowed " << kLow << " to " << kHigh << "\n";
  return false;
}

bool OneOf(const char* flag, const std::string& value, const std::vector<std::string>& allowed) {
  std::string list;
  for (const std::string& text : allowed) {
    if (text == value) return true;
    absl::StrAppend(&list, list.empty() ? "" : ", ", text);
  }
  std::cerr << "--" << flag << "=" << value << ", allowed " << list << "\n";
  return false;
}

bool ValidKind(const char* flag, const std::string& value) {
  return OneOf(flag, value, {"model", "plain"});
}
bool ValidRole(const char* flag, const std::string& value) {
  return OneOf(flag, value, {"prefill", "decode", "both", "plain"});
}
bool ValidState(const char* flag, const std::string& value) {
  return OneOf(flag, value, {"active", "leaving"});
}

void RegisterValidators() {
  constexpr std::int64_t kMaxTargetMs = 600'000;
  gflags::RegisterFlagValidator(&FLAGS_timeout_s, &InRange<1, 600, gflags::int32>);
  gflags::RegisterFlagValidator(&FLAGS_weight, &InRange<1, 1000, gflags::int32>);
  gflags::RegisterFlagValidator(&FLAGS_rate, &InRange<1, 1'000'000'000, gflags::int64>);
  gflags::RegisterFlagValidator(&FLAGS_burst, &InRange<1, 10'000'000'000, gflags::int64>);
  gflags::RegisterFlagValidator(&FLAGS_first_token_ms, &InRange<1, kMaxTargetMs, gflags::int32>);
  gflags::RegisterFlagValidator(&FLAGS_between_tokens_ms, &InRange<1, kMaxTargetMs, gflags::int32>);
  gflags::RegisterFlagValidator(&FLAGS_link_bytes_per_s,
                                &InRange<0, 1'000'000'000'000, gflags::int64>);
  gflags::RegisterFlagValidator(&FLAGS_kind, &ValidKind);
  gflags::RegisterFlagValidator(&FLAGS_role, &ValidRole);
  gflags::RegisterFlagValidator(&FLAGS_state, &ValidState);
}

// Takes general flags from MARIGOLDQUAY_<FLAG>; the command line goes before the environment.
bool ReadEnvironment() {
  for (const char* flag : {"operator_address", "token", "token_file", "timeout_s", "json"}) {
    const std::string name = absl::StrCat("MARIGOLDQUAY_", absl::AsciiStrToUpper(flag));
    const char* value = std::getenv(name.c_str());
    if (value != nullptr && gflags::SetCommandLineOption(flag, value).empty()) {
      std::cerr << "value of " << name << " is malformed\n";
      return false;
    }
  }
  return true;
}

template <class Value>
void AddGiven(boost::json::object& fields, const char* flag, const Value& value) {
  if (!gflags::GetCommandLineFlagInfoOrDie(flag).is_default) fields[flag] = value;
}

boost::json::object GivenFields() {
  boost::json::object fields;
  AddGiven(fields, "weight", FLAGS_weight);
  AddGiven(fields, "rate", FLAGS_rate);
  AddGiven(fields, "burst", FLAGS_burst);
  AddGiven(fields, "workspace", FLAGS_workspace);
  AddGiven(fields, "kind", FLAGS_kind);
  AddGiven(fields, "model", FLAGS_model);
  AddGiven(fields, "first_token_ms", FLAGS_first_token_ms);
  AddGiven(fields, "between_tokens_ms", FLAGS_between_tokens_ms);
  AddGiven(fields, "serve_late", FLAGS_serve_late);
  AddGiven(fields, "pool", FLAGS_pool);
  AddGiven(fields, "role", FLAGS_role);
  AddGiven(fields, "address", FLAGS_address);
  AddGiven(fields, "link_bytes_per_s", FLAGS_link_bytes_per_s);
  AddGiven(fields, "state", FLAGS_state);
  AddGiven(fields, "checks_fencing", FLAGS_checks_fencing);
  boost::json::array methods;
  for (const auto method : absl::StrSplit(FLAGS_methods, ',', absl::SkipEmpty())) {
    methods.emplace_back(absl::AsciiStrToUpper(method));
  }
  AddGiven(fields, "methods", methods);
  AddGiven(fields, "idempotent", FLAGS_idempotent);
  AddGiven(fields, "open", FLAGS_open);
  return fields;
}

// The token, from --token or the file; false when the file cannot be read.
bool ReadToken(std::string& token) {
  token = FLAGS_token;
  if (!token.empty() || FLAGS_token_file.empty()) return true;
  std::ifstream file(FLAGS_token_file);
  token.assign(std::istreambuf_iterator<char>(file), {});
  token = std::string(absl::StripAsciiWhitespace(token));
  if (!token.empty()) return true;
  std::cerr << "--token_file=" << FLAGS_token_file << ", allowed a readable file with a token\n";
  return false;
}

ExitCode Main(int argc, char** argv) {
  gflags::SetUsageMessage(kUsageText);
  gflags::SetVersionString("0.1.0");
  RegisterValidators();
  if (!ReadEnvironment()) return ExitCode::kUsage;
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  InitializeLogging("warn", FLAGS_json);
  OperatorClientOptions options;
  options.addresses = absl::StrSplit(FLAGS_operator_address, ',', absl::SkipEmpty());
  options.timeout = absl::Seconds(FLAGS_timeout_s);
  if (!ReadToken(options.token)) return ExitCode::kUsage;
  const auto http = MakeCurlHttpClient();
  OperatorClient client(*http, std::move(options), std::cerr);
  Commands commands(client, std::cin, std::cout, std::cerr);
  CommandInput input;
  input.words.assign(argv + 1, argv + argc);
  input.fields = GivenFields();
  input.json = FLAGS_json;
  return commands.Run(input);
}

}  // namespace
}  // namespace marigoldquay

int main(int argc, char** argv) { return static_cast<int>(marigoldquay::Main(argc, argv)); }
