// JSON answers as text for people.
#include "render.h"

#include <algorithm>
#include <string>
#include <vector>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"

namespace marigoldquay {
namespace {

std::string Printable(std::string text) {
  for (char& c : text) {
    if (absl::ascii_iscntrl(static_cast<unsigned char>(c))) c = '?';
  }
  return text;
}

bool IsScalar(const boost::json::value& value) { return !value.is_object() && !value.is_array(); }

std::string Cell(const boost::json::value& value) {
  if (value.is_string()) return Printable(std::string(value.get_string()));
  if (value.is_null()) return "-";
  if (value.is_array() &&
      std::all_of(value.get_array().begin(), value.get_array().end(), IsScalar)) {
    std::string text;
    for (const auto& item : value.get_array()) {
      absl::StrAppend(&text, text.empty() ? "" : ",", Cell(item));
    }
    return text.empty() ? "-" : text;
  }
  return Printable(boost::json::serialize(value));
}

bool IsTable(const boost::json::value& value) {
  return value.is_array() && !value.get_array().empty() &&
         std::all_of(value.get_array().begin(), value.get_array().end(),
                     [](const auto& item) { return item.is_object(); });
}

// Names of all fields in the order in which they first appear.
std::vector<std::string> Columns(const boost::json::array& rows) {
  std::vector<std::string> columns;
  for (const auto& row : rows) {
    if (!row.is_object()) continue;
    for (const auto& field : row.get_object()) {
      const std::string name(field.key());
      if (std::find(columns.begin(), columns.end(), name) == columns.end()) {
        columns.push_back(name);
      }
    }
  }
  return columns;
}

std::string Indented(const std::string& text, int indent) {
  const std::string margin(static_cast<std::size_t>(indent), ' ');
  std::string out;
  for (std::size_t at = 0; at < text.size();) {
    const auto end = std::min(text.find('\n', at), text.size() - 1);
    absl::StrAppend(&out, margin, text.substr(at, end - at + 1));
    at = end + 1;
  }
  return out;
}

}  // namespace

std::string RenderTable(const boost::json::array& rows) {
  const std::vector<std::string> columns = Columns(rows);
  if (columns.empty()) return "none\n";
  std::vector<std::vector<std::string>> lines;
  lines.emplace_back();
  for (const std::string& column : columns) lines.back().push_back(Printable(column));
  for (const auto& row : rows) {
    if (!row.is_object()) continue;
    lines.emplace_back();
    for (const std::string& column : columns) {
      const auto* value = row.get_object().if_contains(column);
      lines.back().push_back(value == nullptr ? "-" : Cell(*value));
    }
  }
  std::vector<std::size_t> widths(columns.size(), 0);
  for (const auto& line : lines) {
    for (std::size_t i = 0; i < line.size(); ++i) widths[i] = std::max(widths[i], line[i].size());
  }
  std::string text;
  for (const auto& line : lines) {
    for (std::size_t i = 0; i < line.size(); ++i) {
      const bool last = i + 1 == line.size();
      absl::StrAppend(&text, line[i],
                      last ? "\n" : std::string(widths[i] - line[i].size() + 2, ' '));
    }
  }
  return text;
}

std::string RenderObject(const boost::json::object& object, int indent) {
  constexpr int kStep = 2;
  std::string text;
  for (const auto& field : object) {
    const std::string name = Printable(std::string(field.key()));
    const auto& value = field.value();
    if (value.is_object()) {
      absl::StrAppend(&text, name, ":\n", RenderObject(value.get_object(), kStep));
    } else if (IsTable(value)) {
      absl::StrAppend(&text, name, ":\n", Indented(RenderTable(value.get_array()), kStep));
    } else {
      absl::StrAppend(&text, name, ": ", Cell(value), "\n");
    }
  }
  return Indented(text, indent);
}

}  // namespace marigoldquay
