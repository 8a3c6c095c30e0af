#include "platform/configuration_decoder.h"
#include "platform/host_decoder.h"
#include "platform/json_fields.h"
#include "platform/names.h"
#include "platform/store_objects.h"
#include "platform/target_decoder.h"
#include "tests/fuzz/fuzz_input.h"

namespace {

using namespace bulrushshore;

// Copies and decodes an object as the listeners of the store do.
void UseObject(const nlohmann::json& object) {
  Require(ObjectName(object).has_value(), "an object is named");
  const nlohmann::json copy = object;
  (void)DecodeConfiguration(copy);
  (void)DecodeTarget(copy);
  (void)DecodeHost(copy);
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string_view body = FuzzText(data, size);
  for (const char* kind :
       {platform_names::kConfigurationKind, platform_names::kTargetKind}) {
    const result<store_page> page = DecodePage(body, ObjectLimits(kind));
    if (IsOk(page)) {
      for (const nlohmann::json& object : ValueOf(page).objects) {
        UseObject(object);
      }
    }
    const result<store_changes> changes =
        DecodeChanges(body, ObjectLimits(kind));
    if (IsOk(changes)) {
      for (const store_event& event : ValueOf(changes).events) {
        UseObject(event.object);
      }
    }
    const nlohmann::json stored = DecodeStoredObject(body, ObjectLimits(kind));
    const nlohmann::json copy = stored;
    (void)ObjectName(copy);
  }
  return 0;
}
