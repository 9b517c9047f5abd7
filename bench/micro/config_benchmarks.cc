// Key checks against configurations of different sizes.
#include <benchmark/benchmark.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "marigoldquay/config/configuration.h"
#include "marigoldquay/core/secret.h"

namespace marigoldquay {
namespace {

std::string KeyText(std::int64_t number) { return absl::StrCat("mq_key", number, "_secret"); }

Configuration MakeConfiguration(std::int64_t keys) {
  Configuration::Workspaces workspaces;
  Configuration::Keys table;
  for (std::int64_t i = 0; i < keys; ++i) {
    const std::string workspace = absl::StrCat("workspace", i);
    const std::string key = absl::StrCat("key", i);
    workspaces[workspace] = {workspace, 1, 1000, 2000};
    table[key] = {key, workspace, Sha256Hex(KeyText(i)), KeyState::kActive};
  }
  return {1, std::move(workspaces), std::move(table), {}, {}, {}};
}

// One configuration per size, shared by the threads as in the daemon.
const Configuration& SharedConfiguration(std::int64_t keys) {
  static auto* const configurations = new std::map<std::int64_t, Configuration>{
      {5, MakeConfiguration(5)}, {500, MakeConfiguration(500)}, {26000, MakeConfiguration(26000)}};
  return configurations->at(keys);
}

void CheckKey(benchmark::State& state) {
  const std::int64_t keys = state.range(0);
  const Configuration& configuration = SharedConfiguration(keys);
  std::vector<std::string> texts;
  constexpr std::int64_t kPresented = 4096;
  for (std::int64_t i = 0; i < kPresented; ++i) texts.push_back(KeyText(i * 7919 % keys));
  std::size_t next = static_cast<std::size_t>(state.thread_index()) * 97;
  for ([[maybe_unused]] auto _ : state) {
    const Key* key = configuration.CheckKey(texts[next++ % texts.size()]);
    if (key == nullptr) state.SkipWithError("a configured key was rejected");
    benchmark::DoNotOptimize(key);
  }
  state.SetItemsProcessed(state.iterations());
}
BENCHMARK(CheckKey)->Arg(5)->Arg(500)->Arg(26000)->ThreadRange(1, 8)->UseRealTime();

void CheckUnknownKey(benchmark::State& state) {
  const Configuration& configuration = SharedConfiguration(state.range(0));
  for ([[maybe_unused]] auto _ : state) {
    benchmark::DoNotOptimize(configuration.CheckKey("mq_unknown_secret"));
  }
  state.SetItemsProcessed(state.iterations());
}
BENCHMARK(CheckUnknownKey)->Arg(26000)->UseRealTime();

}  // namespace
}  // namespace marigoldquay
