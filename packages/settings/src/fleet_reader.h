#ifndef LYCHEESTAND_SETTINGS_SRC_FLEET_READER_H
#define LYCHEESTAND_SETTINGS_SRC_FLEET_READER_H

#include "reader.h"

namespace lycheestand::settings {

// Returns the configuration in a document; throws ReadFailure.
FleetSettings
ReadFleet(const Reader& aReader);

// Returns the settings of one site; throws ReadFailure. The names of models and
// services are left to CheckAllowedNames.
SiteSettings
ReadSite(const Reader& aReader);

// Throws ReadFailure if a site or workspace names a model or service that isn't
// configured.
void
CheckAllowedNames(const Reader& aReader, const FleetSettings& aFleet);

} // namespace lycheestand::settings

#endif
