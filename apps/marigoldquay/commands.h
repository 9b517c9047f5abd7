// Commands of the operators' command line.
#ifndef MARIGOLDQUAY_APPS_MARIGOLDQUAY_COMMANDS_H_
#define MARIGOLDQUAY_APPS_MARIGOLDQUAY_COMMANDS_H_

#include <boost/json.hpp>
#include <istream>
#include <ostream>
#include <string>
#include <vector>

#include "exit_code.h"
#include "object_fields.h"
#include "operator_client.h"

namespace marigoldquay {

/// Text of `marigoldquay help`.
extern const char kUsageText[];

struct CommandInput {
  /// Words without flags, e.g. {"workspace", "create", "mugs"}.
  std::vector<std::string> words;
  /// Object fields that were given as flags.
  boost::json::object fields;
  /// Prints answers and errors as JSON.
  bool json = false;
};

/// Runs commands; the references must outlive it.
class Commands {
 public:
  Commands(OperatorClient& client, std::istream& in, std::ostream& out, std::ostream& err)
      : client_(client), in_(in), out_(out), err_(err) {}

  ExitCode Run(const CommandInput& input);

 private:
  Result<ExitCode> Dispatch(const CommandInput& input);
  Result<ExitCode> RunObjectCommand(const KindSpec& spec, const CommandInput& input);
  Result<ExitCode> ListObjects(const KindSpec& spec, bool json);
  Result<ExitCode> CreateObject(const KindSpec& spec, const std::string& id,
                                const CommandInput& input);
  Result<ExitCode> ChangeObject(const KindSpec& spec, const std::string& id,
                                const CommandInput& input);
  Result<ExitCode> CreateKey(const KindSpec& spec, const std::string& id,
                             const CommandInput& input);
  Result<ExitCode> RotateKey(const KindSpec& spec, const std::string& id,
                             const CommandInput& input);
  // Plans a key with a new secret and prints the key's text, the only time that it is shown.
  Result<ExitCode> PlanKey(const KindSpec& spec, boost::json::object object, bool json);
  Result<ExitCode> PlanChange(const boost::json::object& intent, bool json);
  Result<ExitCode> RunPlan(const CommandInput& input);
  Result<ExitCode> Confirm(const CommandInput& input);
  Result<ExitCode> ReportBurn(const CommandInput& input);

  // The object with this id, or none.
  Result<boost::json::array> Find(const KindSpec& spec, const std::string& id);
  Result<boost::json::object> FindExisting(const KindSpec& spec, const std::string& id);
  void Print(const boost::json::object& answer, bool json);
  void PrintPlan(const boost::json::object& plan, bool json);

  OperatorClient& client_;
  std::istream& in_;
  std::ostream& out_;
  std::ostream& err_;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_APPS_MARIGOLDQUAY_COMMANDS_H_
