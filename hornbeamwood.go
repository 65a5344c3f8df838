// Package hornbeamwood serves language-model prompts that return after long gaps.
package hornbeamwood
