// Package members replaces control replicas that lost their disk with replicas
// that operators admit in the settings tree.
//
// A replica whose disk was replaced restarts under its old name and address with
// a new identity. It has no vote until an operator lists the identity in
// admitted-replicas. The leader then adds it as a learner, removes the old member
// of the same name, and promotes the learner to a voter once it has caught up.
package members
