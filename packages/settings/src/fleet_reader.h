#ifndef LYCHEESTAND_SETTINGS_SRC_FLEET_READER_H
#define LYCHEESTAND_SETTINGS_SRC_FLEET_READER_H

#include "reader.h"

namespace lycheestand::settings {

// Returns the configuration in a document; throws ReadFailure.
FleetSettings
ReadFleet(const Reader& aReader);

// Returns the settings of one site; throws ReadFailure.
SiteSettings
ReadSite(const Reader& aReader);

// Fails if a site or workspace names a model or service that is not configured.
void
CheckAllowedNames(const Reader& aReader, const FleetSettings& aFleet);

} // namespace lycheestand::settings

#endif
