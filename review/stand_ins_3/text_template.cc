#include "review/stand_ins_3/text_template.h"

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

namespace bulrushshore::review {

std::string FillTemplate(const std::string& path,
                         const std::map<std::string, std::string>& values) {
  std::ifstream file(path);
  if (!file) {
    std::cerr << path << ": cannot be read\n";
    std::exit(2);
  }
  std::ostringstream contents;
  contents << file.rdbuf();
  std::string text = contents.str();
  for (const std::map<std::string, std::string>::value_type& entry : values) {
    const std::string placeholder = "@" + entry.first + "@";
    for (std::size_t found = text.find(placeholder); found != std::string::npos;
         found = text.find(placeholder, found + entry.second.size())) {
      text.replace(found, placeholder.size(), entry.second);
    }
  }
  return text;
}

}  // namespace bulrushshore::review
