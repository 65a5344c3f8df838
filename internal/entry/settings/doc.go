// Package settings keeps an entry's settings in force: it renews the settings
// lease through the control log and applies changes to the settings.
package settings
