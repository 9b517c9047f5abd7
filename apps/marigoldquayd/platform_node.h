// The daemon as a resident of the users' platform: all parts of the request path
// on one thread.
#ifndef MARIGOLDQUAY_APPS_MARIGOLDQUAYD_PLATFORM_NODE_H_
#define MARIGOLDQUAY_APPS_MARIGOLDQUAYD_PLATFORM_NODE_H_

#include <string>

namespace marigoldquay {

/// Serves with the platform's settings file until SIGTERM. Returns the exit code: 0 after a drain,
/// 2 for bad settings, 3 when it cannot start.
int RunPlatformNode(const std::string& settings_path, const std::string& log_level);

/// Checks the settings file and prints what is in force; returns the exit code.
int CheckPlatformSettings(const std::string& settings_path);

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_APPS_MARIGOLDQUAYD_PLATFORM_NODE_H_
