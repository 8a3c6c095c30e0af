#ifndef BENCHMARKS_SLOPES_SCALED_CATALOG_H_
#define BENCHMARKS_SLOPES_SCALED_CATALOG_H_

#include <cstddef>

#include "libraries/catalog/types.h"

namespace bulrushshore {

inline constexpr std::size_t kFullServices = 290;
inline constexpr std::size_t kFullTargets = 7'800;
inline constexpr std::size_t kFullRoutes = 4'900;
inline constexpr std::size_t kFullOrganisations = 55'000;

struct catalog_size {
  std::size_t services = kFullServices;
  std::size_t targets = kFullTargets;
  std::size_t routes = kFullRoutes;
  std::size_t organisations = kFullOrganisations;
};

// Returns a catalog of this size with names of the usual length; targets and
// routes are spread evenly over the services. Precondition: size.services > 0.
// Thread safe.
catalog_contents MakeScaledCatalog(const catalog_size& size);

}  // namespace bulrushshore

#endif  // BENCHMARKS_SLOPES_SCALED_CATALOG_H_
