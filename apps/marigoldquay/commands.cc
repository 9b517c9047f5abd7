// Commands of the operators' command line.
#include "commands.h"

#include <algorithm>
#include <cstdint>
#include <fstream>
#include <iterator>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "marigoldquay/core/secret.h"
#include "marigoldquay/core/types.h"
#include "render.h"

namespace marigoldquay {

const char kUsageText[] =
    "operators' command line of the marigoldquay router\n"
    "\n"
    "marigoldquay KIND create ID --FIELD=VALUE...  plan a new object\n"
    "marigoldquay KIND change ID --FIELD=VALUE...  plan other values for some fields\n"
    "marigoldquay KIND withdraw ID                 plan the end of an object\n"
    "marigoldquay KIND list                        show all objects of a kind\n"
    "marigoldquay plan FILE                        plan an intent (JSON; - reads standard input)\n"
    "marigoldquay plan list                        show pending plans\n"
    "marigoldquay plan show DIGEST                 show one pending plan\n"
    "marigoldquay confirm DIGEST                   apply exactly this plan\n"
    "marigoldquay status                           show members, roles, queues, what is held\n"
    "marigoldquay report burn [--workspace=ID]     show service-level burn\n"
    "marigoldquay help                             show this text\n"
    "\n"
    "KIND and its fields:\n"
    "  workspace  --weight --rate --burst\n"
    "  rate       --rate --burst (ID is a workspace; has no withdraw)\n"
    "  key        --workspace (create makes an ID if none is given; change makes a new secret)\n"
    "  pool       --kind=model|plain --model --first_token_ms --between_tokens_ms --serve_late\n"
    "  backend    --pool --role=prefill|decode|both|plain --address --link_bytes_per_s\n"
    "             --state=active|leaving --checks_fencing\n"
    "  route      --pool --methods=GET,POST --idempotent --open (ID is the path prefix)\n"
    "\n"
    "Create, change and withdraw print a plan; nothing changes before its confirm.\n"
    "A new key's text is made here and printed once; only its SHA-256 digest is sent.\n"
    "\n"
    "General flags: --operator_address=HOST:PORT[,...], --token, --token_file, --timeout_s, "
    "--json.\n"
    "Each can be set in the environment, e.g. MARIGOLDQUAY_TOKEN.\n"
    "\n"
    "Exit codes:\n"
    "  0  done\n"
    "  1  malformed command or flag\n"
    "  2  internal failure\n"
    "  3  no VM reached; nothing was sent\n"
    "  4  rejected as invalid, or no such object\n"
    "  5  conflict: the plan no longer applies, or the object exists already\n"
    "  6  token rejected\n"
    "  7  no complete answer; a change may have been accepted\n"
    "  8  not possible now, and not done; try again later\n"
    "  9  confirmed, but not yet in force on all members\n";

namespace {

constexpr int kKeySecretBytes = 32;
constexpr std::size_t kMaxIdLength = 64;
constexpr std::size_t kMaxIntentSize = std::size_t{1} << 20;

Error WrongWords(const std::string& expected) {
  return UsageError(absl::StrCat("command malformed, allowed ", expected));
}

// Ids become parts of paths, tables and key texts; "_" separates the parts of a key.
Result<void> CheckId(const KindSpec& spec, const std::string& id) {
  const bool route = spec.kind == "route";
  const bool valid = !id.empty() && id.size() <= kMaxIdLength && (!route || id.front() == '/') &&
                     std::all_of(id.begin(), id.end(), [&](unsigned char c) {
                       return absl::ascii_islower(c) || absl::ascii_isdigit(c) || c == '-' ||
                              (spec.kind != "key" && (c == '.' || c == '_')) ||
                              (route && (c == '/' || absl::ascii_isupper(c)));
                     });
  if (valid) return {};
  return Fail(
      UsageError(absl::StrCat("id \"", id, "\", allowed 1 to ", kMaxIdLength,
                              route ? " characters of letters, digits and -._/ that start with /"
                              : spec.kind == "key" ? " lower-case letters, digits and -"
                                                   : " lower-case letters, digits and -._")));
}

std::int64_t Number(const boost::json::object& object, boost::json::string_view name) {
  const auto* value = object.if_contains(name);
  boost::json::error_code error;
  if (value == nullptr || !value->is_number()) return 0;
  return value->to_number<std::int64_t>(error);
}

std::string Text(const boost::json::object& object, boost::json::string_view name) {
  const auto* value = object.if_contains(name);
  return value != nullptr && value->is_string() ? std::string(value->get_string()) : "";
}

Result<boost::json::array> TakeArray(boost::json::object answer, const std::string& name) {
  auto* value = answer.if_contains(name);
  if (value == nullptr || !value->is_array()) {
    return Fail(ErrorCode::kProtocol, "read list", "VM", absl::StrCat(name, ", allowed an array"));
  }
  return std::move(value->as_array());
}

}  // namespace

ExitCode Commands::Run(const CommandInput& input) {
  return HandleError([&] { return Dispatch(input); },
                     [&](const Error& error) {
                       const ExitCode code = ExitCodeOf(error);
                       if (input.json) {
                         const boost::json::object object = {
                             {"error",
                              {{"type", std::string(ErrorCodeName(error.code))},
                               {"message", error.message},
                               {"step", error.step},
                               {"peer", error.peer}}},
                             {"exit_code", static_cast<int>(code)}};
                         out_ << boost::json::serialize(object) << "\n";
                       } else {
                         err_ << "marigoldquay: " << error.ToString() << "\n";
                       }
                       return code;
                     });
}

Result<ExitCode> Commands::Dispatch(const CommandInput& input) {
  const auto& words = input.words;
  if (words.empty()) return Fail(WrongWords("the commands that `marigoldquay help` lists"));
  if (words[0] == "help") {
    out_ << kUsageText;
    return ExitCode::kDone;
  }
  if (const KindSpec* spec = FindKind(words[0])) return RunObjectCommand(*spec, input);
  if (words[0] == "plan") return RunPlan(input);
  if (words[0] == "confirm") return Confirm(input);
  if (words[0] == "report") return ReportBurn(input);
  if (words[0] == "status" && words.size() == 1) {
    BOOST_LEAF_AUTO(status, client_.Get("status"));
    Print(status, input.json);
    return ExitCode::kDone;
  }
  return Fail(WrongWords("the commands that `marigoldquay help` lists"));
}

Result<ExitCode> Commands::RunObjectCommand(const KindSpec& spec, const CommandInput& input) {
  const auto& words = input.words;
  const std::string verb = words.size() > 1 ? words[1] : "";
  const std::string id = words.size() > 2 ? words[2] : "";
  if (verb == "list" && words.size() == 2) return ListObjects(spec, input.json);
  if (verb == "create" && spec.command == "key" && words.size() <= 3) {
    return CreateKey(spec, id.empty() ? RandomHexId() : id, input);
  }
  if (words.size() != 3 || (verb != "create" && verb != "change" && verb != "withdraw")) {
    return Fail(WrongWords(
        absl::StrCat(spec.command, " create|change|withdraw ID and ", spec.command, " list")));
  }
  BOOST_LEAF_CHECK(CheckId(spec, id));
  if (spec.command == "rate" && verb == "withdraw") {
    return Fail(UsageError("a rate belongs to its workspace, allowed workspace withdraw ID"));
  }
  if (verb == "withdraw") {
    return PlanChange(MakeIntent(spec, "withdraw", id, nullptr), input.json);
  }
  if (spec.command == "key") return RotateKey(spec, id, input);
  // A rate exists with its workspace, so that creating it sets it.
  if (verb == "create" && spec.command != "rate") return CreateObject(spec, id, input);
  return ChangeObject(spec, id, input);
}

Result<ExitCode> Commands::ListObjects(const KindSpec& spec, bool json) {
  BOOST_LEAF_AUTO(answer, client_.Get(spec.list));
  if (json) {
    Print(answer, true);
    return ExitCode::kDone;
  }
  BOOST_LEAF_AUTO(objects, TakeArray(std::move(answer), spec.list));
  if (spec.command == "rate") {
    for (auto& object : objects) {
      if (!object.is_object()) continue;
      const boost::json::object whole = std::move(object.get_object());
      object = boost::json::object{{"id", Text(whole, "id")},
                                   {"rate", Number(whole, "rate")},
                                   {"burst", Number(whole, "burst")}};
    }
  }
  out_ << RenderTable(objects);
  return ExitCode::kDone;
}

Result<boost::json::array> Commands::Find(const KindSpec& spec, const std::string& id) {
  BOOST_LEAF_AUTO(answer, client_.Get(absl::StrCat(spec.list, "?id=", QueryEscape(id))));
  return TakeArray(std::move(answer), spec.list);
}

Result<boost::json::object> Commands::FindExisting(const KindSpec& spec, const std::string& id) {
  BOOST_LEAF_AUTO(found, Find(spec, id));
  if (found.empty() || !found[0].is_object()) {
    return Fail(ErrorCode::kNotFound, "find object", "",
                absl::StrCat("no ", spec.kind, " \"", id, "\""));
  }
  return std::move(found[0].as_object());
}

Result<ExitCode> Commands::CreateObject(const KindSpec& spec, const std::string& id,
                                        const CommandInput& input) {
  BOOST_LEAF_AUTO(object, NewObject(spec, id, input.fields));
  BOOST_LEAF_AUTO(found, Find(spec, id));
  if (!found.empty()) {
    return Fail(ErrorCode::kConflict, "create object", "",
                absl::StrCat(spec.kind, " \"", id, "\" exists already; use change"));
  }
  return PlanChange(MakeIntent(spec, "put", id, std::move(object)), input.json);
}

Result<ExitCode> Commands::ChangeObject(const KindSpec& spec, const std::string& id,
                                        const CommandInput& input) {
  BOOST_LEAF_AUTO(current, FindExisting(spec, id));
  BOOST_LEAF_AUTO(object, ChangedObject(spec, current, input.fields));
  return PlanChange(MakeIntent(spec, "put", id, std::move(object)), input.json);
}

Result<ExitCode> Commands::CreateKey(const KindSpec& spec, const std::string& id,
                                     const CommandInput& input) {
  BOOST_LEAF_CHECK(CheckId(spec, id));
  BOOST_LEAF_AUTO(object, NewObject(spec, id, input.fields));
  BOOST_LEAF_AUTO(found, Find(spec, id));
  if (!found.empty()) {
    return Fail(ErrorCode::kConflict, "create key", "",
                absl::StrCat("key \"", id, "\" exists already"));
  }
  return PlanKey(spec, std::move(object), input.json);
}

Result<ExitCode> Commands::RotateKey(const KindSpec& spec, const std::string& id,
                                     const CommandInput& input) {
  if (!input.fields.empty()) {
    return Fail(UsageError("a key stays with its workspace, allowed key change ID without fields"));
  }
  BOOST_LEAF_AUTO(object, FindExisting(spec, id));
  if (Text(object, "state") == "withdrawn") {
    return Fail(ErrorCode::kConflict, "change key", "",
                absl::StrCat("key \"", id, "\" is withdrawn; create another"));
  }
  return PlanKey(spec, std::move(object), input.json);
}

Result<ExitCode> Commands::PlanKey(const KindSpec& spec, boost::json::object object, bool json) {
  const std::string id = Text(object, "id");
  const std::string key = absl::StrCat("mq_", id, "_", RandomSecretHex(kKeySecretBytes));
  object["digest"] = Sha256Hex(key);
  object["state"] = "active";
  BOOST_LEAF_AUTO(plan, client_.Post("plan", MakeIntent(spec, "put", id, std::move(object))));
  if (json) {
    out_ << boost::json::serialize(boost::json::object{{"plan", std::move(plan)}, {"key", key}})
         << "\n";
    return ExitCode::kDone;
  }
  PrintPlan(plan, false);
  out_ << "key: " << key << "\nThis is the only time that the key is shown.\n";
  return ExitCode::kDone;
}

Result<ExitCode> Commands::PlanChange(const boost::json::object& intent, bool json) {
  BOOST_LEAF_AUTO(plan, client_.Post("plan", intent));
  PrintPlan(plan, json);
  return ExitCode::kDone;
}

Result<ExitCode> Commands::RunPlan(const CommandInput& input) {
  const auto& words = input.words;
  if (words.size() == 2 && words[1] == "list") {
    BOOST_LEAF_AUTO(answer, client_.Get("plans"));
    if (input.json) {
      Print(answer, true);
      return ExitCode::kDone;
    }
    BOOST_LEAF_AUTO(plans, TakeArray(std::move(answer), "plans"));
    out_ << RenderTable(plans);
    return ExitCode::kDone;
  }
  if (words.size() == 3 && words[1] == "show") {
    const KindSpec plan_spec{"plan", "plan", "plans", "digest", {}};
    BOOST_LEAF_AUTO(plan, FindExisting(plan_spec, words[2]));
    Print(plan, input.json);
    return ExitCode::kDone;
  }
  if (words.size() != 2) return Fail(WrongWords("plan FILE, plan list and plan show DIGEST"));
  std::ifstream file;
  if (words[1] != "-") file.open(words[1], std::ios::binary);
  std::istream& source = words[1] == "-" ? in_ : file;
  if (!source) return Fail(UsageError(absl::StrCat("intent file ", words[1], " cannot be read")));
  std::string text(kMaxIntentSize + 1, '\0');
  source.read(text.data(), static_cast<std::streamsize>(text.size()));
  text.resize(static_cast<std::size_t>(source.gcount()));
  boost::json::error_code error;
  boost::json::value intent = boost::json::parse(text, error);
  if (text.size() > kMaxIntentSize || error || !intent.is_object()) {
    return Fail(UsageError(absl::StrCat("intent in ", words[1], ", allowed a JSON object of 1 to ",
                                        kMaxIntentSize, " bytes")));
  }
  return PlanChange(intent.get_object(), input.json);
}

Result<ExitCode> Commands::Confirm(const CommandInput& input) {
  if (input.words.size() != 2) return Fail(WrongWords("confirm DIGEST"));
  BOOST_LEAF_AUTO(result, client_.Post("confirm", {{"digest", input.words[1]}}));
  Print(result, input.json);
  const std::int64_t members = Number(result, "members");
  const std::int64_t in_force = Number(result, "in_force");
  if (!input.json) out_ << "in force on " << in_force << " of " << members << " members\n";
  return in_force < members ? ExitCode::kNotEverywhere : ExitCode::kDone;
}

Result<ExitCode> Commands::ReportBurn(const CommandInput& input) {
  if (input.words.size() != 2 || input.words[1] != "burn") {
    return Fail(WrongWords("report burn [--workspace=ID]"));
  }
  const std::string path =
      absl::StrCat("burn?format=", input.json ? "json" : "text",
                   "&workspace=", QueryEscape(Text(input.fields, "workspace")));
  BOOST_LEAF_AUTO(text, client_.GetText(path));
  out_ << text;
  return ExitCode::kDone;
}

void Commands::Print(const boost::json::object& answer, bool json) {
  if (json) {
    out_ << boost::json::serialize(answer) << "\n";
  } else {
    out_ << RenderObject(answer);
  }
}

void Commands::PrintPlan(const boost::json::object& plan, bool json) {
  Print(plan, json);
  if (!json) out_ << "To apply it: marigoldquay confirm " << Text(plan, "digest") << "\n";
}

}  // namespace marigoldquay
