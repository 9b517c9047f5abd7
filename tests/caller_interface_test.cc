// The caller interface of a running system: the whole path, and bad input.
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "absl/strings/str_split.h"
#include "invariants/load.h"

namespace marigoldquay::testing {
namespace {

// Sends raw bytes and returns what comes back until the server closes or 3 s pass.
std::string SendRaw(const Address& address, const std::string& bytes, bool shut_down_sending) {
  const std::vector<std::string> parts = absl::StrSplit(address, ':');
  sockaddr_in target{};
  target.sin_family = AF_INET;
  target.sin_port = htons(static_cast<std::uint16_t>(std::stoi(parts[1])));
  inet_pton(AF_INET, parts[0].c_str(), &target.sin_addr);
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  const timeval timeout{3, 0};
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
  std::string answer;
  if (connect(fd, reinterpret_cast<sockaddr*>(&target), sizeof(target)) == 0) {
    send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (shut_down_sending) shutdown(fd, SHUT_WR);
    char buffer[4096];
    for (ssize_t n = 0; (n = recv(fd, buffer, sizeof(buffer), 0)) > 0;) answer.append(buffer, n);
  }
  close(fd);
  return answer;
}

struct Fixture {
  Fixture() : system(Options()) {}
  static SystemOptions Options() {
    SystemOptions options;
    options.vms = 2;
    options.workspaces = {{"w1", 1, 1000000, 10000000}};
    options.vm_flags = {"--max_body_bytes=65536"};
    return options;
  }
  // The body of the error, with its status and field checked.
  void ExpectRejection(const ClientRequest& request, int status, const std::string& field) {
    const auto response = Fetch(request);
    BOOST_TEST(response.status == status, request.body.substr(0, 80));
    const auto json = response.Json();
    BOOST_REQUIRE(json.contains("error"));
    BOOST_TEST(!json.at("error").at("message").as_string().empty());
    if (!field.empty()) {
      BOOST_REQUIRE(json.at("error").as_object().contains("field"));
      BOOST_TEST(json.at("error").at("field").as_string() == field);
    }
    BOOST_TEST(Outcome(response) == "not_run");
  }
  ClientRequest WithBody(const std::string& body) {
    auto request = system.CompletionRequest(0, "w1", "x", 1, false);
    request.body = body;
    return request;
  }
  TestSystem system;
};

BOOST_AUTO_TEST_SUITE(caller_interface)

BOOST_FIXTURE_TEST_CASE(whole_path_and_bad_input, Fixture) {
  // A request goes through a prefill and a decode server and comes back whole.
  const auto streamed = Fetch(system.CompletionRequest(1, "w1", "Hello [tokens=12]", 20, true));
  BOOST_TEST(StreamIsWhole(streamed));
  BOOST_TEST(StreamedText(streamed.body) == FakeCompletion("Hello [tokens=12]", 20));
  BOOST_TEST(system.EngineCount("prefills") == 1);
  BOOST_TEST(system.EngineCount("decodes") == 1);
  const auto order = Fetch(system.OrderRequest(0, "w1", "o1", "{}"));
  BOOST_TEST(order.status == 200);
  BOOST_TEST(order.Json()["execution"].as_int64() == 1);

  ExpectRejection(WithBody("{\"model\":"), 400, "body");
  ExpectRejection(WithBody(R"({"model":"none","prompt":"x"})"), 404, "model");
  ExpectRejection(WithBody(R"({"model":"brief-writer","prompt":"x","max_tokens":-5})"), 400,
                  "max_tokens");
  ExpectRejection(WithBody(R"({"model":"brief-writer","prompt":"x","max_tokens":99999999999})"),
                  400, "max_tokens");
  ExpectRejection(WithBody(std::string(100000, 'x')), 413, "body");
  auto wrong_method = WithBody("");
  wrong_method.method = "DELETE";
  BOOST_TEST(Fetch(wrong_method).status == 405);
  auto unknown_route = WithBody("{}");
  unknown_route.url = absl::StrCat("http://", system.vm(0).caller, "/nowhere");
  ExpectRejection(unknown_route, 404, "path");
  BOOST_TEST(system.EngineCount("prefills") == 1);

  const auto addresses = Get(absl::StrCat("http://", system.vm(0).caller, "/v1/addresses")).Json();
  BOOST_TEST(addresses.at("addresses").as_array().size() == 2U);
  BOOST_TEST(addresses.at("max_age").as_int64() > 0);
  const auto metrics = Get(absl::StrCat("http://", system.vm(0).caller, "/metrics"));
  BOOST_TEST(metrics.body.find("marigoldquay_requests_total") != std::string::npos);
}

// Fails if broken connections, header floods or slow senders block or crash a VM.
BOOST_FIXTURE_TEST_CASE(broken_senders, Fixture) {
  const auto& caller = system.vm(0).caller;
  const std::string head =
      absl::StrCat("POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer ",
                   System::KeyText("w1"), "\r\n");
  const auto flood = SendRaw(caller, head + std::string(100000, 'A') + ": b\r\n\r\n", false);
  BOOST_TEST((flood.empty() || flood.find(" 4") != std::string::npos));
  // A truncated body is never run.
  SendRaw(caller, head + "Content-Length: 100\r\n\r\n{\"model\":\"brief-writer\"", true);
  SendRaw(caller, "\x16\x03\x01 garbage\r\n\r\n", true);
  const auto& inner = system.vm(0).inner;
  SendRaw(inner, std::string(1000, 'Z'), true);
  SendRaw(inner, std::string("MQ\x63\x00\x02\x00\x00\x00\xff\xff\xff\xff", 12) + std::string(12, 0),
          true);
  BOOST_TEST(system.EngineCount("prefills") == 0);
  // Many callers that send nothing more leave the VM able to serve.
  std::vector<int> idle;
  const std::vector<std::string> parts = absl::StrSplit(caller, ':');
  for (int i = 0; i < 200; ++i) {
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons(static_cast<std::uint16_t>(std::stoi(parts[1])));
    inet_pton(AF_INET, parts[0].c_str(), &target.sin_addr);
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    if (connect(fd, reinterpret_cast<sockaddr*>(&target), sizeof(target)) == 0) {
      send(fd, head.data(), head.size() / 2, MSG_NOSIGNAL);
    }
    idle.push_back(fd);
  }
  const auto response = Fetch(system.CompletionRequest(0, "w1", "Hello", 4, false));
  BOOST_TEST(response.status == 200);
  for (const int fd : idle) close(fd);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay::testing
