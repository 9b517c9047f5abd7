// Peers that send more than a VM can hold: the process must stay below the memory of its VM and
// serve everyone else. Memory is what the kernel counts as resident.
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <fstream>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "marigoldquay/net/async.h"
#include "tcp_stub_server.h"
#include "world.h"

namespace marigoldquay::testing {
namespace {

// `memoryMb` of the world's settings.
constexpr std::size_t kMemoryLimit = std::size_t{110} << 20;
// `bodyBytes` and `headerBytes` of the configuration.
constexpr std::size_t kBodyBytes = std::size_t{4} << 20;
constexpr std::size_t kHeaderBytes = std::size_t{64} * 1024;
// How long bytes keep coming in each case.
constexpr absl::Duration kFlood = absl::Milliseconds(1500);

std::size_t ResidentBytes(pid_t pid) {
  std::ifstream file(absl::StrCat("/proc/", pid, "/statm"));
  std::size_t size = 0;
  std::size_t resident = 0;
  file >> size >> resident;
  return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

/// Highest resident memory of a process from now on.
class MemoryWatch {
 public:
  explicit MemoryWatch(pid_t pid)
      : thread_([this, pid] {
          while (!stopping_) {
            highest_ = std::max(highest_.load(), ResidentBytes(pid));
            absl::SleepFor(absl::Milliseconds(2));
          }
        }) {}
  ~MemoryWatch() {
    stopping_ = true;
    thread_.join();
  }
  MemoryWatch(const MemoryWatch&) = delete;
  MemoryWatch& operator=(const MemoryWatch&) = delete;

  std::size_t highest() const { return highest_; }

 private:
  std::atomic<bool> stopping_{false};
  std::atomic<std::size_t> highest_{0};
  std::thread thread_;
};

/// An answer that has no end: `start` once, then `repeated` until the router closes.
struct EndlessAnswer {
  std::string name;
  std::string start;
  std::string repeated;
};

std::string ChunkedHead() {
  return "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
}

std::vector<EndlessAnswer> EndlessAnswers() {
  const std::string x(std::size_t{64} * 1024, 'x');
  std::string fields;
  while (fields.size() < std::size_t{32} * 1024) fields += "a: b\r\n";
  return {
      {"field without end", "X-Field: ", x},
      {"head of fields without end", "", fields},
      {"head of a chunk without end", ChunkedHead(), x},
      {"extension of a chunk without end", ChunkedHead() + "5;a=", x},
      {"trailer without end", ChunkedHead() + "5\r\nhello\r\n0\r\nX-Field: ", x},
      {"trailer of fields without end", ChunkedHead() + "5\r\nhello\r\n0\r\n", fields},
      {"event without end", ChunkedHead(), absl::StrCat("10000\r\n", x, "\r\n")},
      {"body without length and end", "Content-Type: text/event-stream\r\n\r\n", x},
  };
}

// The value of a header field of a request.
std::string FieldOf(const std::string& head, const std::string& name) {
  const auto begin = head.find(name + ": ");
  if (begin == std::string::npos) return "";
  const auto value = begin + name.size() + 2;
  return head.substr(value, head.find("\r\n", value) - value);
}

void SendEndless(const StubConnection& connection, const EndlessAnswer& answer) {
  const std::string head = connection.ReadUntil("\r\n\r\n");
  connection.Send(absl::StrCat("HTTP/1.1 200 OK\r\nAttempt-Id: ", FieldOf(head, "Attempt-Id"),
                               "\r\nResponse-Seal: s\r\n", answer.start));
  const auto& piece = answer.repeated;
  while (send(connection.fd(), piece.data(), piece.size(), MSG_NOSIGNAL) > 0) {
  }
}

WorldOptions Options(const std::string& name) {
  WorldOptions options;
  options.name = absl::StrCat("memory_", name);
  options.vms = 1;
  return options;
}

void UseLargeLimits(World& world) {
  (void)world.Configure([](boost::json::object& config) {
    auto& limits = config["limits"].as_object();
    limits["bodyBytes"] = kBodyBytes;
    limits["headerBytes"] = kHeaderBytes;
  });
  // Until the configuration is in force.
  absl::SleepFor(absl::Seconds(1));
}

std::string EntryOf(const std::string& service, const std::string& phase, const Address& address) {
  boost::json::object entry{{"service", service}, {"address", address}, {"zone", "z1"},
                            {"version", "v1"},    {"slots", 64},        {"state", "ready"},
                            {"coldLeftMs", 0},    {"sequence", 1},      {"born", 1}};
  if (!phase.empty()) entry["phase"] = phase;
  return boost::json::serialize(entry);
}

/// Calls `path` again and again from `callers` threads for the time of the flood, and on until
/// `enough`: servers that have failed are left alone for seconds.
void CallUntil(World& world, const std::string& path, int callers,
               const std::function<bool()>& enough) {
  const absl::Time until = absl::Now() + kFlood;
  const absl::Time last = until + absl::Seconds(8);
  std::vector<std::thread> threads;
  for (int i = 0; i < callers; ++i) {
    threads.emplace_back([&world, &path, &enough, until, last] {
      while (absl::Now() < until || (!enough() && absl::Now() < last)) {
        CallerCall call;
        call.id = NewRequestId();
        call.path = path;
        call.headers = {"Token-Count: 100,10"};
        call.time_left = absl::Seconds(1);
        // A caller that takes all that is passed on, and leaves after a while.
        std::size_t taken = 0;
        call.on_data = [&taken](absl::string_view data) {
          taken += data.size();
          return taken < (std::size_t{1} << 20);
        };
        (void)world.Call(0, call);
        // The stand-in keeps the descriptors of all its connections.
        absl::SleepFor(absl::Milliseconds(20));
      }
    });
  }
  for (auto& thread : threads) thread.join();
}

/// Lets callers of all routes meet servers with answers without end, in the given role.
void MeetEndlessAnswers(const std::string& name, const std::string& service,
                        const std::string& phase, const std::vector<std::string>& paths) {
  auto options = Options(name);
  if (service == "desk") options.desk_replicas = 0;
  if (phase == "prefill") options.prefill_engines = 0;
  if (phase == "decode") options.decode_engines = 0;
  World world(options);
  const std::vector<EndlessAnswer> answers = EndlessAnswers();
  std::atomic<std::size_t> current{0};
  TcpStubServer server(
      [&](const StubConnection& connection) { SendEndless(connection, answers[current]); });
  world.Run([&] {
    world.store().Put("keyed.servers", "endless", EntryOf(service, phase, server.address()));
  });
  BOOST_TEST_REQUIRE(world.AwaitReady(0));
  absl::SleepFor(absl::Milliseconds(1200));
  for (; current < answers.size(); ++current) {
    for (const auto& path : paths) {
      const int met_before = server.connections();
      const MemoryWatch watch(world.vm(0).pid());
      CallUntil(world, path, 12, [&] { return server.connections() > met_before; });
      BOOST_TEST_CONTEXT(answers[current].name << " for " << path) {
        BOOST_TEST(server.connections() > met_before);
        BOOST_TEST(watch.highest() < kMemoryLimit);
        BOOST_TEST(world.vm(0).running());
      }
    }
  }
}

/// Callers that write bytes of their own making to a VM.
class Flood {
 public:
  /// Each of `callers` sends `start` and then `repeated`, if any, until the VM closes, and reads
  /// the first byte of an answer if it `reads`.
  Flood(const World& world, int callers, const std::string& start, const std::string& repeated,
        bool reads = true) {
    const auto endpoint = ParseEndpoint(world.caller_address(0));
    for (int i = 0; i < callers; ++i) {
      SpawnFiber(io_, "caller", [this, endpoint, start, repeated, reads](Yield yield) {
        boost::system::error_code error;
        Tcp::socket socket(io_);
        socket.async_connect(*endpoint, yield[error]);
        if (!error) ++connected_;
        if (!error) asio::async_write(socket, asio::buffer(start), yield[error]);
        while (!error && !repeated.empty()) {
          asio::async_write(socket, asio::buffer(repeated), yield[error]);
        }
        if (!error) ++holding_;
        if (!reads) SleepFor(io_, absl::Hours(1), yield);
        char byte = 0;
        socket.async_read_some(asio::buffer(&byte, 1), yield[error]);
        if (repeated.empty()) --holding_;
      });
    }
    thread_ = std::thread([this] { io_.run(); });
  }
  ~Flood() {
    io_.stop();
    thread_.join();
  }
  Flood(const Flood&) = delete;
  Flood& operator=(const Flood&) = delete;

  /// Callers whose connection is established.
  int connected() const { return connected_; }
  /// Callers that have sent all and have got no answer.
  int holding() const { return holding_; }

 private:
  asio::io_context io_;
  std::atomic<int> connected_{0};
  std::atomic<int> holding_{0};
  std::thread thread_;
};

std::string HeadOf(const std::string& path, const std::string& rest) {
  return absl::StrCat("POST ", path, " HTTP/1.1\r\nHost: shop.example\r\nKey: key-1\r\n", rest);
}

/// Calls with small bodies, one after the other; all have to succeed.
void SmallCallsSucceed(World& world, absl::Duration duration) {
  int failed = 0;
  int calls = 0;
  for (const absl::Time until = absl::Now() + duration; absl::Now() < until; ++calls) {
    CallerCall call;
    call.id = NewRequestId();
    call.path = calls % 2 == 0 ? "/order/x" : "/status/x";
    // A body in chunks states no length.
    if (calls % 4 >= 2) call.headers = {"Transfer-Encoding: chunked"};
    if (world.Call(0, call).status != 200) ++failed;
  }
  BOOST_TEST(failed == 0);
  BOOST_TEST(calls > 0);
}

BOOST_AUTO_TEST_SUITE(platform_memory)

// Guard against answers without end, in a head or a body, that take the memory of the VM and end
// the process with the requests of all its callers.
BOOST_AUTO_TEST_CASE(endless_answers_of_plain_servers_are_bounded) {
  MeetEndlessAnswers("plain", "desk", "", {"/order/x", "/status/x"});
}
BOOST_AUTO_TEST_CASE(endless_answers_of_decode_engines_are_bounded) {
  MeetEndlessAnswers("decode", "model", "decode", {"/stream/x", "/once/x"});
}
BOOST_AUTO_TEST_CASE(endless_answers_of_prefill_engines_are_bounded) {
  MeetEndlessAnswers("prefill", "model", "prefill", {"/stream/x"});
}

// Guards against bodies of many callers that take the memory of the VM together, though each stays
// within the limits of the configuration: those that do not fit are refused, small requests are
// not.
BOOST_AUTO_TEST_CASE(large_bodies_are_bounded_together) {
  World world(Options("bodies"));
  BOOST_TEST_REQUIRE(world.AwaitReady(0));
  UseLargeLimits(world);
  const MemoryWatch watch(world.vm(0).pid());
  std::atomic<int> served{0};
  std::atomic<int> other{0};
  const absl::Time until = absl::Now() + kFlood;
  std::vector<std::thread> threads;
  for (int i = 0; i < 40; ++i) {
    threads.emplace_back([&] {
      while (absl::Now() < until) {
        CallerCall call;
        call.id = NewRequestId();
        call.path = "/status/x";
        call.body = std::string(kBodyBytes - 100, 'b');
        const auto reply = world.Call(0, call);
        if (reply.status == 200) ++served;
        const bool refused = reply.status == 503 && reply.headers.contains("retry-after");
        if (reply.status != 200 && !refused) ++other;
      }
    });
  }
  SmallCallsSucceed(world, kFlood);
  for (auto& thread : threads) thread.join();
  BOOST_TEST(watch.highest() < kMemoryLimit);
  BOOST_TEST(world.vm(0).running());
  BOOST_TEST(served > 0);
  BOOST_TEST(other == 0);
}

// Guards against a bound that a single large request does not pass, or that changes its body.
BOOST_AUTO_TEST_CASE(largest_body_is_served_unchanged) {
  World world(Options("largest"));
  BOOST_TEST_REQUIRE(world.AwaitReady(0));
  UseLargeLimits(world);
  for (const std::string path : {"/order/x", "/status/x"}) {
    for (const bool chunked : {false, true}) {
      CallerCall call;
      call.id = NewRequestId();
      call.path = path;
      for (std::size_t i = 0; i < kBodyBytes / 8; ++i) call.body += absl::StrCat(i % 10'000'000);
      call.body.resize(kBodyBytes);
      if (chunked) call.headers = {"Transfer-Encoding: chunked"};
      BOOST_TEST(world.Call(0, call).status == 200);
      const auto runs = world.RunsOf(call.id);
      BOOST_TEST((runs.size() == 1 && runs[0].body == call.body));
    }
  }
}

// Guards against callers that hold back the last byte of a large body, whose number takes the
// memory of the VM, and against small requests that are refused because of them.
BOOST_AUTO_TEST_CASE(unfinished_large_bodies_are_bounded_together) {
  World world(Options("unfinished"));
  BOOST_TEST_REQUIRE(world.AwaitReady(0));
  UseLargeLimits(world);
  const MemoryWatch watch(world.vm(0).pid());
  const Flood flood(world, 100,
                    HeadOf("/status/x", absl::StrCat("Content-Length: ", kBodyBytes, "\r\n\r\n",
                                                     std::string(kBodyBytes - 1, 'b'))),
                    "");
  SmallCallsSucceed(world, kFlood);
  BOOST_TEST(flood.holding() > 0);
  BOOST_TEST(watch.highest() < kMemoryLimit);
  BOOST_TEST(world.vm(0).running());
}

// Guards against requests of which some part has no end, and which the limit of the body does not
// concern.
BOOST_AUTO_TEST_CASE(endless_requests_are_bounded) {
  const std::string x(std::size_t{64} * 1024, 'x');
  std::string fields;
  while (fields.size() < std::size_t{32} * 1024) fields += "a: b\r\n";
  const std::string chunked = HeadOf("/status/x", "Transfer-Encoding: chunked\r\n\r\n");
  const std::pair<std::string, std::string> requests[] = {
      {chunked, x},
      {chunked + "5;a=", x},
      {chunked + "5\r\nhello\r\n0\r\nX-Field: ", x},
      {chunked + "5\r\nhello\r\n0\r\n", fields},
      {chunked, absl::StrCat("10000\r\n", x, "\r\n")},
      {HeadOf("/status/x", "X-Field: "), x},
      {HeadOf("/status/x", ""), fields},
      // The next requests of a connection whose first one is being served.
      {HeadOf("/once/x", "Token-Count: 100,10\r\nContent-Length: 0\r\n\r\n"), x},
  };
  auto options = Options("endless_requests");
  options.event_gap = absl::Milliseconds(400);
  World world(options);
  BOOST_TEST_REQUIRE(world.AwaitReady(0));
  UseLargeLimits(world);
  for (const auto& [start, repeated] : requests) {
    const MemoryWatch watch(world.vm(0).pid());
    const Flood flood(world, 40, start, repeated);
    SmallCallsSucceed(world, kFlood);
    BOOST_TEST(flood.connected() == 40);
    BOOST_TEST_CONTEXT(start.substr(0, 120)) {
      BOOST_TEST(watch.highest() < kMemoryLimit);
      BOOST_TEST(world.vm(0).running());
    }
  }
}

// Guards against many callers, each of which holds a part of a request that is allowed, up to the
// limit on connections: heads and bodies that do not end, and heads of very many fields.
BOOST_AUTO_TEST_CASE(unfinished_requests_of_many_callers_are_bounded_together) {
  const std::string head(kHeaderBytes - 200, 'x');
  std::string fields;
  while (fields.size() < kHeaderBytes - 200) fields += "a:\r\n";
  const std::string body(std::size_t{60} * 1024, 'b');
  const std::string starts[] = {
      HeadOf("/status/x", "X-Field: " + head),
      HeadOf("/status/x", fields),
      HeadOf("/status/x", absl::StrCat("X-Field: ", head.substr(1000),
                                       "\r\nContent-Length: ", body.size() + 1, "\r\n\r\n", body)),
      HeadOf("/status/x", absl::StrCat(fields.substr(1000), "Content-Length: ", body.size() + 1,
                                       "\r\n\r\n", body)),
  };
  auto options = Options("many");
  options.max_descriptors = 4100;
  World world(options);
  BOOST_TEST_REQUIRE(world.AwaitReady(0));
  UseLargeLimits(world);
  for (const auto& start : starts) {
    const MemoryWatch watch(world.vm(0).pid());
    const Flood flood(world, 900, start, "");
    SmallCallsSucceed(world, kFlood);
    BOOST_TEST(flood.connected() == 900);
    BOOST_TEST_CONTEXT(start.substr(0, 120)) {
      BOOST_TEST(watch.highest() < kMemoryLimit);
      BOOST_TEST(world.vm(0).running());
    }
  }
}

// Guards against callers that do not read their answers, whose number takes the memory of the VM:
// each request takes stack and buffers that no budget knows. Two floods, as memory that the first
// one has used may not have returned to the system.
BOOST_AUTO_TEST_CASE(unread_answers_are_bounded_together) {
  auto options = Options("unread");
  options.max_descriptors = 4100;
  options.behavior = [](const std::string&) { return ReplicaBehavior::kEndlessBody; };
  World world(options);
  BOOST_TEST_REQUIRE(world.AwaitReady(0));
  const MemoryWatch watch(world.vm(0).pid());
  for (const int callers : {700, 1150}) {
    const std::size_t runs_before = world.Seen().runs.size();
    const Flood flood(world, callers, HeadOf("/status/x", "Content-Length: 2\r\n\r\nab"), "",
                      false);
    // The route's timeout of 5 s ends the answers.
    absl::SleepFor(absl::Seconds(6));
    BOOST_TEST(flood.connected() == callers);
    BOOST_TEST(world.Seen().runs.size() >= runs_before + 500U);
  }
  BOOST_TEST_MESSAGE("highest resident memory: " << watch.highest());
  BOOST_TEST(watch.highest() < kMemoryLimit);
  BOOST_TEST(world.vm(0).running());
}

// Guards against a store whose answers are not read while callers hold the memory: a change of the
// configuration has to take effect all the same.
BOOST_AUTO_TEST_CASE(configuration_is_read_while_callers_hold_the_memory) {
  const std::string body(std::size_t{60} * 1024, 'b');
  const std::string start =
      HeadOf("/status/x", absl::StrCat("Content-Length: ", body.size() + 1, "\r\n\r\n", body));
  auto options = Options("configuration");
  options.max_descriptors = 4100;
  World world(options);
  BOOST_TEST_REQUIRE(world.AwaitReady(0));
  UseLargeLimits(world);
  const Flood flood(world, 900, start, "");
  BOOST_TEST(Eventually(absl::Seconds(3), [&] { return flood.holding() > 400; }));
  (void)world.Configure([](boost::json::object& config) {
    auto& routes = config["routes"].as_array();
    // Makes the record larger than what every connection is granted.
    for (int i = 0; i < 300; ++i) {
      auto route = routes.front().as_object();
      route["name"] = absl::StrCat("r", i);
      route["pathPrefix"] = absl::StrCat("/added-", i, "/");
      routes.push_back(route);
    }
  });
  BOOST_TEST(Eventually(absl::Seconds(3), [&] {
    CallerCall call;
    call.id = NewRequestId();
    call.path = "/added-299/x";
    return world.Call(0, call).status == 200;
  }));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay::testing
