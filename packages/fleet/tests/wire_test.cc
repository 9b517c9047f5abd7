// Messages between VMs: what is sent arrives unchanged.
#include "wire.h"

#include <boost/test/unit_test.hpp>

namespace marigoldquay::internal {
namespace {

const absl::Time kNow = absl::UnixEpoch() + absl::Hours(1);

BOOST_AUTO_TEST_SUITE(wire)

// Guards against a VM that learns of an engine from the coordinator without its software version.
BOOST_AUTO_TEST_CASE(backend_server_keeps_its_software_version) {
  Replica replica;
  replica.id = "i-1";
  replica.software_version = "7.1-b";
  BOOST_TEST((FromWire(*ToWire(replica, kNow), kNow) == replica));
}

// Guards against a continuation that loses the version it requires on its way to the coordinator.
BOOST_AUTO_TEST_CASE(placement_keeps_the_required_software_version) {
  StreamPlacementRequest request;
  request.service = "llm";
  for (const std::optional<std::string>& version :
       {std::optional<std::string>(), std::make_optional<std::string>(""),
        std::make_optional<std::string>("7")}) {
    request.demand.software_version = version;
    const auto arrived = DemandFromWire(ToWire(request, kNow), kNow);
    BOOST_TEST((arrived.software_version == version));
  }
}

// Guards against a take-up that reaches the coordinator as a request for a new stream.
BOOST_AUTO_TEST_CASE(placement_keeps_the_stream_that_it_takes_up) {
  StreamPlacementRequest request;
  request.service = "llm";
  BOOST_TEST(!ToWire(request, kNow).is_take_up);
  request.resumes = "";
  BOOST_TEST(ToWire(request, kNow).is_take_up);
  request.resumes = "r1";
  BOOST_TEST(ToWire(request, kNow).resumes == "r1");
}

// Guards against a take-up that is judged by a list of engines from before it arrived.
BOOST_AUTO_TEST_CASE(placement_keeps_the_age_of_the_take_up) {
  StreamPlacementRequest request;
  request.service = "llm";
  request.resumes = "r1";
  BOOST_TEST(ToWire(request, kNow).take_up_age_ms == 0U);
  request.taken_up_at = kNow - absl::Milliseconds(250);
  BOOST_TEST(ToWire(request, kNow).take_up_age_ms == 250U);
  request.resumes.reset();
  BOOST_TEST(ToWire(request, kNow).take_up_age_ms == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay::internal
