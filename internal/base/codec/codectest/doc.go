// Package codectest checks that whatever the system's processes encode can be decoded.
package codectest
