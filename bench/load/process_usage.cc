#include "process_usage.h"

#include <unistd.h>

#include <fstream>
#include <iterator>
#include <sstream>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace marigoldquay::bench {
namespace {

double TicksToSeconds(const std::string& text) {
  return std::stod(text) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

}  // namespace

ProcessUsage ReadUsage(pid_t pid) {
  std::ifstream file(absl::StrCat("/proc/", pid, "/stat"));
  std::string text(std::istreambuf_iterator<char>(file), {});
  // The fields after the program's name, which may contain spaces; the first one is field 3 of
  // proc(5).
  const std::size_t name_end = text.rfind(") ");
  if (name_end == std::string::npos) return {};
  text.erase(0, name_end + 2);
  const std::vector<std::string> fields = absl::StrSplit(text, ' ');
  constexpr std::size_t kUserTime = 11;
  constexpr std::size_t kSystemTime = 12;
  constexpr std::size_t kThreads = 17;
  constexpr std::size_t kResidentPages = 21;
  if (fields.size() <= kResidentPages) return {};
  ProcessUsage usage;
  usage.cpu_seconds = TicksToSeconds(fields[kUserTime]) + TicksToSeconds(fields[kSystemTime]);
  usage.resident_bytes = std::stoll(fields[kResidentPages]) * sysconf(_SC_PAGESIZE);
  usage.threads = std::stoi(fields[kThreads]);
  return usage;
}

MachineUsage ReadMachineUsage() {
  std::ifstream file("/proc/stat");
  std::string line;
  std::getline(file, line);
  std::istringstream words(line);
  std::string word;
  words >> word;
  MachineUsage usage;
  constexpr int kIdle = 3;
  constexpr int kIoWait = 4;
  constexpr int kSteal = 7;
  for (int i = 0; i <= kSteal && words >> word; ++i) {
    (i == kIdle || i == kIoWait ? usage.idle_seconds : usage.busy_seconds) += TicksToSeconds(word);
  }
  return usage;
}

}  // namespace marigoldquay::bench
