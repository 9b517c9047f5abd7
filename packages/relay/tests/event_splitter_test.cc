// Splitting of event streams, including streams interrupted within an event.
#include "event_splitter.h"

#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>

namespace marigoldquay::internal {
namespace {

BOOST_AUTO_TEST_SUITE(event_splitter)

// Guards against forwarding part of an event twice when a stream is interrupted and resumed.
BOOST_AUTO_TEST_CASE(holds_back_incomplete_event) {
  EventSplitter splitter;
  BOOST_TEST(splitter.Append("id: 1\ndata: a\n\nid: 2\nda") == "id: 1\ndata: a\n\n");
  BOOST_TEST(splitter.has_partial());
  BOOST_TEST(splitter.last_id().value_or(0) == 1);
  splitter.DiscardPartial();
  BOOST_TEST(splitter.Append("id: 2\ndata: b\n\n") == "id: 2\ndata: b\n\n");
  BOOST_TEST(splitter.last_id().value_or(0) == 2);
}

BOOST_AUTO_TEST_CASE(accepts_lf_and_crlf_line_endings) {
  EventSplitter splitter;
  BOOST_TEST(splitter.Append("id:7\r\ndata: a\r\n\r\n") == "id:7\r\ndata: a\r\n\r\n");
  BOOST_TEST(splitter.last_id().value_or(0) == 7);
}

BOOST_AUTO_TEST_CASE(output_is_independent_of_chunk_sizes) {
  BOOST_TEST(rc::check("bytes are unchanged for any chunk sizes", [] {
    std::string stream;
    const int events = *rc::gen::inRange(1, 10);
    for (int i = 1; i <= events; ++i) {
      stream += "id: " + std::to_string(i) + "\ndata: x" + std::to_string(i) + "\n\n";
    }
    EventSplitter splitter;
    std::string output;
    for (std::size_t offset = 0; offset < stream.size();) {
      const auto size = static_cast<std::size_t>(*rc::gen::inRange(1, 20));
      output += splitter.Append(stream.substr(offset, size));
      offset += size;
    }
    RC_ASSERT(output == stream);
    RC_ASSERT(splitter.last_id().value_or(0) == static_cast<std::uint64_t>(events));
  }));
}

// Guards against an event boundary that is missed since its line endings came in two parts.
BOOST_AUTO_TEST_CASE(boundary_is_independent_of_chunk_sizes_and_line_endings) {
  for (const std::string ending : {"\n\n", "\r\n\r\n", "\r\r", "\n\r\n"}) {
    const std::string event = "data: a" + ending;
    for (std::size_t split = 0; split <= event.size(); ++split) {
      EventBoundary boundary;
      BOOST_TEST(!boundary.at_end_of_event());
      boundary.Append(event.substr(0, split));
      boundary.Append(event.substr(split));
      BOOST_TEST(boundary.at_end_of_event());
      boundary.Append("d");
      BOOST_TEST(!boundary.at_end_of_event());
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay::internal
