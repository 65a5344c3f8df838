// Package examples holds the settings of the two example deployments.
package examples

import _ "embed"

// Certilote is the settings tree of Recubrimientos Andinos Franquicias as TOML.
//
//go:embed certilote/tree.toml
var Certilote []byte

// Association is the settings tree of the Korea Time Signal Broadcasters Association as TOML.
//
//go:embed association/tree.toml
var Association []byte
