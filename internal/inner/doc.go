// Package inner is the protocol between entry hosts: drpc messages, their server and their client.
package inner
