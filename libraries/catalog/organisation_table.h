#ifndef LIBRARIES_CATALOG_ORGANISATION_TABLE_H_
#define LIBRARIES_CATALOG_ORGANISATION_TABLE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace bulrushshore {

// An organisation whose requests share capacity with those of others.
struct organisation {
  std::string name;
  std::uint32_t weight = 1;

  bool operator==(const organisation&) const = default;
};

// The organisations of a catalog by name, grouped as in the encoded parts.
// Copies share the groups that neither of them changed, so that two versions of
// a catalog with 55,000 organisations need little more memory than one.
// Not thread safe; copies may be used by different threads.
class organisation_table {
 public:
  static constexpr std::size_t kGroupCount = 64;

  // Returns the group of an organisation, below kGroupCount. Thread safe.
  static std::size_t GroupOf(std::string_view name);

  // Returns the organisation, or null. The pointer is valid until the table
  // changes.
  const organisation* Find(std::string_view name) const;

  // Adds an organisation or replaces the one of this name.
  void Set(organisation value);

  // Removes an organisation; does nothing if there is none of this name.
  void Erase(std::string_view name);

  // Replaces a whole group. Precondition: `index` is below kGroupCount, `group`
  // is sorted by name, holds no name twice and only names of this group.
  void ReplaceGroup(std::size_t index, std::vector<organisation> group);

  // Returns a group, sorted by name; valid until the table changes.
  // Precondition: `index` is below kGroupCount.
  const std::vector<organisation>& Group(std::size_t index) const;

  // Returns copies of all organisations, sorted by name.
  std::vector<organisation> Sorted() const;

  std::size_t size() const;

  bool operator==(const organisation_table& other) const;

 private:
  // Returns a group that no other table shares.
  std::vector<organisation>& UnsharedGroup(std::size_t index);

  // Null for a group without organisations.
  std::array<std::shared_ptr<std::vector<organisation>>, kGroupCount> groups_;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_CATALOG_ORGANISATION_TABLE_H_
