#ifndef TESTS_CATALOG_CATALOG_FIXTURES_H_
#define TESTS_CATALOG_CATALOG_FIXTURES_H_

#include <string>
#include <string_view>

#include "libraries/catalog/types.h"

namespace bulrushshore {

// Returns the text of a note with this header and these sections.
std::string NoteText(std::string_view id,
                     std::uint64_t base_version,
                     std::string_view sections);

// Sections that add the service `name` with two targets and a route.
std::string ServiceSections(std::string_view name);

// A catalog of the design's full size: 290 services, 7,800 targets, 4,900
// routes and 55,000 organisations.
catalog_contents FullSizeContents();

}  // namespace bulrushshore

#endif  // TESTS_CATALOG_CATALOG_FIXTURES_H_
