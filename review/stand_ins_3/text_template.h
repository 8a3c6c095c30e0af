#ifndef REVIEW_STAND_INS_3_TEXT_TEMPLATE_H_
#define REVIEW_STAND_INS_3_TEXT_TEMPLATE_H_

#include <map>
#include <string>

namespace bulrushshore::review {

// Returns the contents of the file with each "@NAME@" replaced by its value.
// Ends the program with exit code 2 if the file cannot be read.
std::string FillTemplate(const std::string& path,
                         const std::map<std::string, std::string>& values);

}  // namespace bulrushshore::review

#endif  // REVIEW_STAND_INS_3_TEXT_TEMPLATE_H_
