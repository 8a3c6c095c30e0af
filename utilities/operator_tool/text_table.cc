#include "utilities/operator_tool/text_table.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace bulrushshore {
namespace {

constexpr std::string_view kColumnGap = "  ";

}  // namespace

std::string Printable(std::string_view text) {
  std::string printable(text);
  std::replace_if(
      printable.begin(), printable.end(),
      [](char character) { return character < ' ' || character > '~'; }, '?');
  return printable;
}

std::string Coloured(std::string_view text, text_colour colour) {
  std::string_view code;
  switch (colour) {
    case text_colour::kNone:
      return std::string(text);
    case text_colour::kRed:
      code = "31";
      break;
    case text_colour::kGreen:
      code = "32";
      break;
    case text_colour::kYellow:
      code = "33";
      break;
  }
  return "\x1b[" + std::string(code) + "m" + std::string(text) + "\x1b[0m";
}

text_table::text_table(std::vector<std::string> header) {
  rows_.push_back({std::move(header), text_colour::kNone});
}

void text_table::AddRow(std::vector<std::string> cells, text_colour colour) {
  assert(cells.size() == rows_.front().cells.size());
  for (std::string& cell : cells) {
    cell = Printable(cell);
  }
  rows_.push_back({std::move(cells), colour});
}

void text_table::Print(std::ostream& output, bool is_coloured) const {
  std::vector<std::size_t> widths(rows_.front().cells.size(), 0);
  for (const row& line : rows_) {
    for (std::size_t column = 0; column < widths.size(); ++column) {
      widths[column] = std::max(widths[column], line.cells[column].size());
    }
  }
  for (const row& line : rows_) {
    for (std::size_t column = 0; column < widths.size(); ++column) {
      const std::string& cell = line.cells[column];
      const bool has_colour = is_coloured && column == 0;
      output << (has_colour ? Coloured(cell, line.colour) : cell);
      if (column + 1 < widths.size()) {
        output << std::string(widths[column] - cell.size(), ' ') << kColumnGap;
      }
    }
    output << "\n";
  }
}

}  // namespace bulrushshore
