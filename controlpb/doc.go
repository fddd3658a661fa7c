// Package controlpb holds the generated messages of the control protocol and
// of the declared state. Regenerate with "buf generate" after editing
// control.proto.
package controlpb
