// JSON answers as text for people.
#ifndef MARIGOLDQUAY_APPS_MARIGOLDQUAY_RENDER_H_
#define MARIGOLDQUAY_APPS_MARIGOLDQUAY_RENDER_H_

#include <boost/json.hpp>
#include <string>

namespace marigoldquay {

/// Rows under the names of their fields; "none" without rows.
std::string RenderTable(const boost::json::array& rows);

/// One "name: value" line per field; arrays of objects become tables, nested objects are indented.
/// Control characters in texts are replaced, so that an answer cannot control the terminal.
std::string RenderObject(const boost::json::object& object, int indent = 0);

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_APPS_MARIGOLDQUAY_RENDER_H_
