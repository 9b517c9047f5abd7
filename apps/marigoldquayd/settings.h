// Settings of the daemon from flags and environment variables, validated once
// at start.
#ifndef MARIGOLDQUAY_APPS_MARIGOLDQUAYD_SETTINGS_H_
#define MARIGOLDQUAY_APPS_MARIGOLDQUAYD_SETTINGS_H_

#include <string>
#include <vector>

#include "absl/time/time.h"
#include "marigoldquay/core/error.h"
#include "marigoldquay/core/types.h"

namespace marigoldquay {

struct Settings {
  VmId vm_id;
  std::string availability_zone;
  std::string region;
  std::int32_t vm_size = 1;
  Address caller_listen;
  Address caller_advertise;
  Address inner_listen;
  Address inner_advertise;
  Address operator_listen;
  std::string operator_token;
  std::string log_url;
  std::string vm_list_url;
  std::vector<Address> seed_peers;
  std::string log_level;
  bool log_json = false;
  std::string tls_certificate;
  std::string tls_private_key;
  int max_connections = 0;
  std::size_t max_body_bytes = 0;
  int max_completions = 0;
  absl::Duration completion_timeout;
  absl::Duration plain_timeout;
  absl::Duration address_max_age;
  absl::Duration drain_timeout;
  std::string placement_policy;
  /// Settings file of the users' platform; when set, the daemon serves there and only the log level
  /// of the other settings counts.
  std::string node_file;
  /// Only print the settings and exit.
  bool check = false;

  bool operator==(const Settings&) const = default;
};

/// Reads flags and environment variables MARIGOLDQUAY_<FLAG>; a flag goes before its variable.
/// Fails with kInvalidArgument that names the flag, the value and the allowed values.
Result<Settings> LoadSettings(int argc, char** argv);

/// One line "flag=value" per setting; secrets are shown as "(set)".
std::string DescribeSettings(const Settings& settings);

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_APPS_MARIGOLDQUAYD_SETTINGS_H_
