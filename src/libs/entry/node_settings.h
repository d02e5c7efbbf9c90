#ifndef PAPAYADRIFT_ENTRY_NODE_SETTINGS_H_
#define PAPAYADRIFT_ENTRY_NODE_SETTINGS_H_

// What each part of an entry needs of the settings file.

#include "access/access_control.h"
#include "configuration/configuration.h"
#include "entry/http_front.h"
#include "entry/region_controller_settings.h"
#include "entry/request_desk.h"
#include "http/server.h"
#include "settings/entry_settings.h"

namespace papayadrift::entry {

access::AccessSettings AccessSettingsOf(Incarnation incarnation);
// The tokens of the settings file and of the configuration in force.
access::AccessBook AccessBookOf(
    const settings::EntrySettings& settings,
    const configuration::Configuration& configuration);
RequestDeskSettings RequestDeskSettingsOf(
    const settings::EntrySettings& settings,
    Incarnation incarnation);
lease::LeaseSettings LeaseSettingsOf(const settings::EntrySettings& settings);
// Returns why the durations of the lease rule don't fit together, if they
// don't.
std::optional<settings::Problem> LeaseProblemOf(
    const settings::EntrySettings& settings);
RegionControllerSettings ControllerSettingsOf(
    const settings::EntrySettings& settings,
    Incarnation incarnation,
    const std::optional<peer_protocol::SharedKey>& peer_key);
HttpFrontSettings HttpFrontSettingsOf(const settings::EntrySettings& settings);
http::ServerSettings ServerSettingsOf(const settings::EntrySettings& settings);

}  // namespace papayadrift::entry

#endif  // PAPAYADRIFT_ENTRY_NODE_SETTINGS_H_
