#include "http_server.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <memory>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

namespace marigoldquay::testing {
namespace {

constexpr std::size_t kMaxBodySize = std::size_t{16} << 20;
constexpr std::size_t kStreamBlockSize = 16384;
constexpr unsigned kMaxConnections = 2000;
constexpr std::size_t kThreadStackSize = std::size_t{512} << 10;
constexpr std::size_t kMaxKeyLeaks = 100;

absl::Mutex leaks_mutex(absl::kConstInit);
boost::json::array& Leaks() {
  static auto* leaks = new boost::json::array;
  return *leaks;
}

void CheckForKey(const ServerRequest& request) {
  std::vector<std::string> places;
  for (const auto& [name, value] : request.headers) {
    if (absl::StrContains(value, "mq_")) places.push_back(absl::StrCat("header ", name));
  }
  for (const auto& [name, value] : request.query) {
    if (absl::StrContains(value, "mq_") || absl::StrContains(name, "mq_")) {
      places.emplace_back("query");
    }
  }
  if (absl::StrContains(request.path, "mq_")) places.emplace_back("path");
  if (absl::StrContains(request.body, "mq_")) places.emplace_back("body");
  absl::MutexLock lock(&leaks_mutex);
  for (const std::string& place : places) {
    if (Leaks().size() < kMaxKeyLeaks) Leaks().emplace_back(place);
  }
}

struct Exchange {
  ServerRequest request;
  bool too_large = false;
};

struct StreamState {
  std::function<Chunk()> next_chunk;
  std::string pending;
};

MHD_Result AddHeader(void* cls, MHD_ValueKind, const char* name, const char* value) {
  auto& headers = *static_cast<std::map<std::string, std::string>*>(cls);
  headers[absl::AsciiStrToLower(name)] = value == nullptr ? "" : value;
  return MHD_YES;
}

MHD_Result AddQuery(void* cls, MHD_ValueKind, const char* name, const char* value) {
  auto& query = *static_cast<std::map<std::string, std::string>*>(cls);
  query[name] = value == nullptr ? "" : value;
  return MHD_YES;
}

ssize_t ReadStream(void* cls, std::uint64_t, char* buffer, std::size_t max) {
  auto& state = *static_cast<StreamState*>(cls);
  while (state.pending.empty()) {
    Chunk chunk = state.next_chunk();
    if (chunk.kind == ChunkKind::kEnd) return MHD_CONTENT_READER_END_OF_STREAM;
    if (chunk.kind == ChunkKind::kAbort) return MHD_CONTENT_READER_END_WITH_ERROR;
    state.pending = std::move(chunk.data);
  }
  const std::size_t size = std::min(max, state.pending.size());
  std::copy_n(state.pending.data(), size, buffer);
  state.pending.erase(0, size);
  return static_cast<ssize_t>(size);
}

void FreeStream(void* cls) { delete static_cast<StreamState*>(cls); }

MHD_Result Send(MHD_Connection* connection, const ServerResponse& response) {
  if (response.drop) return MHD_NO;
  MHD_Response* out =
      response.next_chunk
          ? MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, kStreamBlockSize, &ReadStream,
                                              new StreamState{response.next_chunk, ""}, &FreeStream)
          : MHD_create_response_from_buffer(response.body.size(),
                                            const_cast<char*>(response.body.data()),
                                            MHD_RESPMEM_MUST_COPY);
  for (const auto& [name, value] : response.headers) {
    MHD_add_response_header(out, name.c_str(), value.c_str());
  }
  const MHD_Result result = MHD_queue_response(connection, response.status, out);
  MHD_destroy_response(out);
  return result;
}

ServerResponse Handle(const ServerHandler& handler, const Exchange& exchange) {
  if (exchange.too_large) return ErrorResponse(413, "body over 16 MiB");
  const ServerRequest& request = exchange.request;
  if (!absl::StartsWith(request.path, "/test/")) CheckForKey(request);
  try {
    return handler(request);
  } catch (const std::exception& error) {  // Boost.JSON reports malformed input by exceptions.
    return ErrorResponse(400, error.what());
  }
}

MHD_Result OnRequest(void* cls, MHD_Connection* connection, const char* url, const char* method,
                     const char*, const char* data, std::size_t* size, void** state) {
  if (*state == nullptr) {
    auto* exchange = new Exchange;
    exchange->request.method = method;
    exchange->request.path = url;
    MHD_get_connection_values(connection, MHD_HEADER_KIND, &AddHeader, &exchange->request.headers);
    MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, &AddQuery,
                              &exchange->request.query);
    *state = exchange;
    return MHD_YES;
  }
  auto& exchange = *static_cast<Exchange*>(*state);
  if (*size > 0) {
    exchange.too_large = exchange.too_large || exchange.request.body.size() + *size > kMaxBodySize;
    if (!exchange.too_large) exchange.request.body.append(data, *size);
    *size = 0;
    return MHD_YES;
  }
  return Send(connection, Handle(*static_cast<ServerHandler*>(cls), exchange));
}

void OnCompleted(void*, MHD_Connection*, void** state, MHD_RequestTerminationCode) {
  delete static_cast<Exchange*>(*state);
  *state = nullptr;
}

sigset_t TerminationSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

}  // namespace

std::int64_t ServerRequest::QueryInt(const std::string& name, std::int64_t fallback) const {
  const auto found = query.find(name);
  std::int64_t value = 0;
  return found != query.end() && absl::SimpleAtoi(found->second, &value) ? value : fallback;
}

std::string ServerRequest::Header(const std::string& name) const {
  const auto found = headers.find(name);
  return found == headers.end() ? "" : found->second;
}

boost::json::object ServerRequest::Json() const {
  return body.empty() ? boost::json::object() : boost::json::parse(body).as_object();
}

ServerResponse JsonResponse(int status, const boost::json::value& body) {
  return {status, boost::json::serialize(body), {{"Content-Type", "application/json"}}};
}

ServerResponse ErrorResponse(int status, absl::string_view message) {
  return JsonResponse(status, {{"error", std::string(message)}});
}

ServerResponse DroppedResponse() {
  ServerResponse response;
  response.drop = true;
  return response;
}

Address StartHttpServer(int port, ServerHandler handler) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  MHD_Daemon* daemon = MHD_start_daemon(
      MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL, 0, nullptr,
      nullptr, &OnRequest, new ServerHandler(std::move(handler)), MHD_OPTION_SOCK_ADDR, &address,
      MHD_OPTION_NOTIFY_COMPLETED, &OnCompleted, nullptr, MHD_OPTION_CONNECTION_LIMIT,
      kMaxConnections, MHD_OPTION_THREAD_STACK_SIZE, kThreadStackSize, MHD_OPTION_END);
  if (daemon == nullptr) {
    std::fprintf(stderr, "cannot listen on 127.0.0.1:%d\n", port);
    std::exit(1);
  }
  return absl::StrCat("127.0.0.1:", MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_BIND_PORT)->port);
}

void BlockTermination() {
  const sigset_t signals = TerminationSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void AwaitTermination() {
  const sigset_t signals = TerminationSignals();
  int signal = 0;
  sigwait(&signals, &signal);
}

int RunHttpServer(int port, ServerHandler handler) {
  BlockTermination();
  const Address address = StartHttpServer(port, std::move(handler));
  std::printf("listening %s\n", address.c_str());
  std::fflush(stdout);
  AwaitTermination();
  std::_Exit(0);  // Handlers may be blocked for long, and a stand-in has nothing to save.
}

boost::json::array KeyLeaks() {
  absl::MutexLock lock(&leaks_mutex);
  return Leaks();
}

ServerResponse FaultSet::Set(const ServerRequest& request) {
  std::map<std::string, std::int64_t> values;
  for (const auto& [key, value] : request.Json()) {
    const std::string name = key;
    if (std::find(names_.begin(), names_.end(), name) == names_.end()) {
      return ErrorResponse(400, absl::StrCat("unknown fault ", name));
    }
    values[name] = value.is_bool() ? (value.as_bool() ? 1 : 0) : value.to_number<std::int64_t>();
  }
  absl::MutexLock lock(&mutex_);
  values_ = std::move(values);
  return JsonResponse(200, boost::json::object());
}

std::int64_t FaultSet::Value(const std::string& name, std::int64_t fallback) const {
  absl::MutexLock lock(&mutex_);
  const auto found = values_.find(name);
  return found == values_.end() ? fallback : found->second;
}

bool FaultSet::Take(const std::string& name) {
  absl::MutexLock lock(&mutex_);
  const auto found = values_.find(name);
  if (found == values_.end() || found->second <= 0) return false;
  --found->second;
  return true;
}

void FaultSet::AwaitZero(const std::string& name) const {
  const auto is_zero = [&] {
    const auto found = values_.find(name);
    return found == values_.end() || found->second == 0;
  };
  absl::MutexLock lock(&mutex_);
  mutex_.Await(absl::Condition(&is_zero));
}

void FaultSet::SleepMs(const std::string& name) const {
  if (const std::int64_t ms = Value(name); ms > 0) absl::SleepFor(absl::Milliseconds(ms));
}

}  // namespace marigoldquay::testing
