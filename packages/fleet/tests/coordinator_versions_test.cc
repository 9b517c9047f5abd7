// Take-ups of streams at a coordinator whose list of engines may be old.
#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/clock.h"
#include "marigoldquay/fleet/coordinator.h"
#include "marigoldquay/fleet/frame_connection.h"

namespace marigoldquay {
namespace {

constexpr char kService[] = "model";
constexpr absl::Duration kTimeout = absl::Seconds(2);
// A VM that has been cut off for this long has missed what others were told.
constexpr absl::Duration kCutOff = absl::Seconds(5);

class NoMembers final : public MemberSource {
 public:
  const std::vector<FleetMember>& listed_members() const override { return members_; }
  absl::Time read_at() const override { return absl::InfinitePast(); }
  bool settled() const override { return true; }

 private:
  std::vector<FleetMember> members_;
};

Address FreeAddress() {
  asio::io_context io;
  const Tcp::acceptor acceptor(io, Tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

FleetMember Self() {
  FleetMember self;
  self.instance.vm = "vm-1";
  self.inner_address = FreeAddress();
  return self;
}

/// A coordinator that has seen one software version since the first start of the system.
struct Fixture {
  Fixture() {
    CatalogContents contents;
    contents.version = 1;
    EngineProfile profile;
    profile.kv_capacity = 100'000;
    contents.services = {{kService, 0, profile}};
    view.Apply(contents);
    Replica engine;
    engine.id = "d1";
    engine.service = kService;
    engine.role = EngineRole::kDecode;
    engine.slots = 8;
    engine.software_version = "v1";
    view.replicas().Upsert(engine);
    BOOST_TEST_REQUIRE(coordinator.Start().ok());
    coordinator.OnClusterChange();
    coordinator.NoteListRead();
    coordinator.stream_versions().FinishLoading(/*bootstrap=*/true, clock.Now());
  }

  /// Places a request, which takes up the stream `resumes` that came `age` ago.
  protocol::PlaceStreamReplyT Place(const std::string& request_id,
                                    const std::optional<std::string>& resumes,
                                    absl::Duration age = absl::ZeroDuration()) {
    protocol::PlaceStreamRequestT request;
    request.request_id = request_id;
    request.service = kService;
    request.prompt_tokens = 10;
    request.output_tokens = 10;
    request.due_ms = 1000;
    request.give_up_ms = 5000;
    request.is_take_up = resumes.has_value();
    request.resumes = resumes.value_or("");
    request.take_up_age_ms = static_cast<std::uint32_t>(absl::ToInt64Milliseconds(age));
    std::optional<protocol::PlaceStreamReplyT> reply;
    Run([&](FrameConnection& session, Yield yield) {
      session.Send(protocol::MessageType::PlaceStream, 1, request);
      const auto frame = session.Read(kTimeout, yield);
      if (!frame) return;
      auto decoded = Capture<protocol::PlaceStreamReplyT>([&] {
        return DecodeMessage<protocol::PlaceStreamReplyT>(frame->payload, "coordinator");
      });
      if (decoded.index() == 0) reply = std::get<0>(decoded);
    });
    BOOST_TEST_REQUIRE(reply.has_value());
    return *reply;
  }
  /// The VM tells that the first event of a placement has come.
  void SendFirstEvent(std::uint64_t ticket) {
    protocol::StreamProgressMessageT message;
    message.service = kService;
    message.ticket = ticket;
    message.step = protocol::StreamStep::FirstEvent;
    Run([&](FrameConnection& session, Yield yield) {
      session.Send(protocol::MessageType::StreamProgress, 0, message);
      SleepFor(io, absl::Milliseconds(50), yield);
    });
  }

  // Fibers are not unwound, so neither they nor what they refer to is destroyed; in the daemon they
  // run until the process ends.
  asio::io_context& io = *new asio::io_context;
  const SystemClock clock;
  ClusterView view;
  NoMembers members;
  const FleetMember self = Self();
  // When the list of engines was asked for.
  absl::Time list_read_at = clock.Now();
  Coordinator& coordinator =
      *new Coordinator(io, clock, view, members, self, Hooks(), MemoryBudget::Unlimited());

 private:
  CoordinatorHooks Hooks() {
    const auto origin = [this] { return DataOrigin{1, list_read_at}; };
    return {origin,
            origin,
            [] { return std::optional<FleetMember>(); },
            [](const BackendServerId&) {},
            [](const StatedRequestLimit&) {},
            [](const ServerDeparture&) {},
            [](std::uint64_t, const std::string&) {}};
  }
  // Runs `exchange` on the session of the only VM.
  template <class Exchange>
  void Run(const Exchange& exchange) {
    bool done = false;
    SpawnFiber(io, "vm", [&](Yield yield) {
      if (session_ == nullptr) {
        auto connected = FrameConnection::Connect(io, self.inner_address, kTimeout,
                                                  MemoryBudget::Unlimited(), yield);
        if (connected) session_ = std::move(*connected);
      }
      if (session_ != nullptr) exchange(*session_, yield);
      done = true;
    });
    while (io.run_one() > 0) {
      if (done) break;
    }
  }

  FrameConnectionPtr session_;
};

BOOST_FIXTURE_TEST_SUITE(coordinator_versions, Fixture)

// Guards against a coordinator that was cut off while engines of another version joined and began
// streams for another coordinator: it lists one version, and has them go on there.
BOOST_AUTO_TEST_CASE(take_up_is_not_resolved_by_a_list_from_before_it) {
  list_read_at = clock.Now() - kCutOff;
  const auto reply = Place("r2", "r1");
  BOOST_TEST((reply.status == protocol::PlaceStreamStatus::Refused));
  BOOST_TEST(reply.provisional);
}

// Guards against take-ups that are refused although a list from after them names one version.
BOOST_AUTO_TEST_CASE(take_up_is_resolved_by_a_list_from_after_it) {
  const absl::Time arrived = clock.Now();
  list_read_at = arrived + absl::Milliseconds(1);
  absl::SleepFor(absl::Milliseconds(20));
  const auto reply = Place("r2", "r1", clock.Now() - arrived);
  BOOST_TEST((reply.status == protocol::PlaceStreamStatus::Granted));
  BOOST_TEST(reply.software_version == "v1");
}

// Guards against take-ups that wait for a list though this coordinator knows where they began.
BOOST_AUTO_TEST_CASE(take_up_of_a_stream_that_began_here_needs_no_list) {
  const auto placed = Place("r1", std::nullopt);
  BOOST_TEST_REQUIRE((placed.status == protocol::PlaceStreamStatus::Granted));
  list_read_at = clock.Now() - kCutOff;
  BOOST_TEST((Place("r2", "r1").status == protocol::PlaceStreamStatus::Refused));
  SendFirstEvent(placed.ticket);
  BOOST_TEST((Place("r3", "r1").status == protocol::PlaceStreamStatus::Granted));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay
