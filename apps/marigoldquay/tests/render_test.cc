// Tests of text output and of the progress line.
#include "render.h"

#include <boost/test/unit_test.hpp>
#include <sstream>
#include <thread>

#include "absl/strings/match.h"
#include "progress_line.h"

namespace marigoldquay {

BOOST_AUTO_TEST_SUITE(render)

// Guards against fields of some rows that are not shown.
BOOST_AUTO_TEST_CASE(table_has_all_columns) {
  const boost::json::array rows = {{{"id", "mugs"}, {"rate", 10}},
                                   {{"id", "b"}, {"methods", {"GET", "POST"}}}};
  BOOST_TEST(RenderTable(rows) ==
             "id    rate  methods\n"
             "mugs  10    -\n"
             "b     -     GET,POST\n");
  BOOST_TEST(RenderTable({}) == "none\n");
}

// Guards against an answer that controls the operator's terminal.
BOOST_AUTO_TEST_CASE(nested_objects_are_indented_and_harmless) {
  const boost::json::object object = {
      {"digest", "d1"},
      {"effect", {{"capacity", "less\x1b[2J"}}},
      {"steps", boost::json::array{{{"op", "put"}, {"id", "mugs"}}}}};
  BOOST_TEST(RenderObject(object) ==
             "digest: d1\n"
             "effect:\n"
             "  capacity: less?[2J\n"
             "steps:\n"
             "  op   id\n"
             "  put  mugs\n");
}

BOOST_AUTO_TEST_CASE(progress_line_appears_only_after_its_delay) {
  std::ostringstream out;
  { const ProgressLine line(out, "waiting", absl::Minutes(1)); }
  BOOST_TEST(out.str().empty());
  {
    const ProgressLine line(out, "waiting", absl::ZeroDuration());
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
  }
  BOOST_TEST(absl::StartsWith(out.str(), "\rwaiting, 0 s"));
  BOOST_TEST(absl::EndsWith(out.str(), "\n"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace marigoldquay
