// Splitting of event streams, including streams interrupted within an event.
#include "event_splitter.h"

#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>

#include "absl/strings/str_cat.h"

namespace marigoldquay::internal {
namespace {

BOOST_AUTO_TEST_SUITE(event_splitter)

// Guards against forwarding part of an event twice when a stream is interrupted and resumed.
BOOST_AUTO_TEST_CASE(holds_back_incomplete_event) {
  EventSplitter splitter;
  BOOST_TEST(splitter.Append("id: 1\ndata: a\n\nid: 2\nda") == "id: 1\ndata: a\n\n");
  BOOST_TEST(splitter.has_partial());
  BOOST_TEST(splitter.last_id().value_or("") == "1");
  splitter.DiscardPartial();
  BOOST_TEST(splitter.Append("id: 2\ndata: b\n\n") == "id: 2\ndata: b\n\n");
  BOOST_TEST(splitter.last_id().value_or("") == "2");
}

BOOST_AUTO_TEST_CASE(accepts_lf_and_crlf_line_endings) {
  EventSplitter splitter;
  BOOST_TEST(splitter.Append("id:7\r\ndata: a\r\n\r\n") == "id:7\r\ndata: a\r\n\r\n");
  BOOST_TEST(splitter.last_id().value_or("") == "7");
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
    RC_ASSERT(splitter.last_id().value_or("") == std::to_string(events));
  }));
}

// Guards against a stream whose lines end with CR and that arrives empty, as no event ever ends.
BOOST_AUTO_TEST_CASE(events_end_with_any_two_line_endings) {
  for (const std::string ending : {"\n\n", "\r\n\r\n", "\r\r", "\n\r\n", "\r\n\n", "\n\r"}) {
    const std::string first = "id: 1\ndata: a" + ending;
    const std::string stream = absl::StrCat(first, "id: 2\ndata: b", ending);
    for (std::size_t split = 0; split <= stream.size(); ++split) {
      EventSplitter splitter;
      const std::string before = splitter.Append(stream.substr(0, split));
      const std::string after = splitter.Append(stream.substr(split));
      BOOST_TEST(before + after == stream);
      if (split >= first.size()) BOOST_TEST(before.size() >= first.size());
      BOOST_TEST(!splitter.has_partial());
      BOOST_TEST(splitter.last_id().value_or("") == "2");
    }
  }
}

// Guards against a stream that begins again behind events that the caller has, since the server
// was not told their id.
BOOST_AUTO_TEST_CASE(position_is_known_by_the_id_of_the_last_event) {
  const auto position = [](const std::string& stream) {
    EventSplitter splitter;
    (void)splitter.Append(stream);
    return splitter.position_known() ? splitter.last_id().value_or("start") : "unknown";
  };
  BOOST_TEST(position("") == "start");
  BOOST_TEST(position("id: 1765065600000-101\ndata: a\n\n") == "1765065600000-101");
  BOOST_TEST(position("id: 003\ndata: a\n\n") == "003");
  BOOST_TEST(position("id:a b\ndata: a\n\n") == "a b");
  BOOST_TEST(position("data: a\n\n") == "unknown");
  BOOST_TEST(position("data\n\n") == "unknown");
  BOOST_TEST(position("id: 1\ndata: a\n\ndata: b\n\n") == "unknown");
  BOOST_TEST(position("id: 1\ndata: a\n\ndata: b\n\nid: 3\ndata: c\n\n") == "3");
  BOOST_TEST(position("id: 1\ndata: a\n\n: comment\n\n") == "1");
  BOOST_TEST(position(": comment\n\n\n\n") == "start");
  BOOST_TEST(position("id\ndata: a\n\n") == "unknown");
  BOOST_TEST(position("id:  spaced\ndata: a\n\n") == "unknown");
  BOOST_TEST(position(std::string("id: a\0b\ndata: a\n\n", 17)) == "unknown");
  BOOST_TEST(position("id: " + std::string(300, 'x') + "\ndata: a\n\n") == "unknown");
  BOOST_TEST(position("id: 1\ndata: a\n\nid: 2\ndata: b\n") == "1");
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
