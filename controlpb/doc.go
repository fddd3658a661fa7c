// Package controlpb holds the generated messages of the control protocol and
// of the declared state. Regenerate with "buf generate" after editing
// one of the .proto files.
package controlpb
