package main

import (
	"github.com/integrii/flaggy"

	"hornbeamwood/internal/cli/settings"
)

func zonesCommands() []command {
	parent := newSubcommand("zones", "shows and changes which availability zones are evacuated")
	flaggy.AttachSubcommand(parent, 1)
	return []command{
		settingsCommand(parent, "show", "shows the evacuated zones, and who changed them when", settings.ShowEvacuations),
		settingsCommand(parent, "start", "sends no new requests to the backend servers of a zone", settings.StartEvacuation, zoneArgument, editFlags),
		settingsCommand(parent, "end", "ends the evacuation of a zone", settings.EndEvacuation, zoneArgument, editFlags),
	}
}

func zoneArgument(s *flaggy.Subcommand, f *settingsFlags) {
	s.AddPositionalValue(&f.Value, "ZONE", 1, true, "name of the availability zone")
}
