// Package logline writes log lines without ever making the one who logs wait.
package logline
