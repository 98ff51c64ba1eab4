// Package quotakeeper decides which tokens a VM grants from the parts of quotas that it
// keeps. It has no network, clock or lock.
//
// A token permits one request. A VM grants tokens of a part only while a recent list of
// VMs names it as the keeper. A VM that becomes keeper starts with an empty bucket, which
// begins to fill when the previous keeper can no longer grant, so that the grants of two
// keepers never add up to more than one bucket allows.
package quotakeeper
