package main

import (
	"bytes"
	"embed"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"os"
	"regexp"
	"strings"
	"text/template"
)

// The names of the platform stand in the files of wire/, so that this code is free of them.
//
//go:embed wire
var wireFiles embed.FS

// names has the paths and fields that the code needs by themselves.
var names = readNames()

func readNames() map[string]string {
	m := map[string]string{}
	for _, l := range strings.Split(wireText("names.txt"), "\n") {
		if k, v, ok := strings.Cut(l, "="); ok {
			m[k] = v
		}
	}
	return m
}

func wireText(file string) string {
	b, err := wireFiles.ReadFile("wire/" + file)
	check(err)
	return string(b)
}

// render fills in a file of wire/.
func render(file string, values any) []byte {
	var b bytes.Buffer
	check(template.Must(template.New(file).Parse(wireText(file))).Execute(&b, values))
	return bytes.TrimSpace(b.Bytes())
}

var placeholder = regexp.MustCompile(`\{\{([a-z0-9_.]+)(\|json)?\}\}`)

// fillTemplate fills in a settings template of the deploy folder. It covers the
// placeholders for values and for lists as JSON, which are all that the templates use.
func fillTemplate(path string, fields []byte) string {
	b, err := os.ReadFile(path)
	check(err)
	values := map[string]string{}
	for _, l := range strings.Split(string(fields), "\n") {
		if k, v, ok := strings.Cut(l, "="); ok {
			values[k] = v
		}
	}
	return placeholder.ReplaceAllStringFunc(string(b), func(s string) string {
		m := placeholder.FindStringSubmatch(s)
		v, ok := values[m[1]]
		if !ok {
			fail("template %s: no value for %s", path, m[1])
		}
		if m[2] == "" {
			return v
		}
		list, err := json.Marshal(strings.Split(v, ","))
		check(err)
		return string(list)
	})
}

// Flags of a packet.
const (
	flagRst     = 1
	flagSyn     = 4
	flagBounced = 8
	flagAck     = 32
	flagFin     = 64
)

const headSize = 32

// packet is the head of a packet.
type packet struct {
	flags        byte
	seq, ack     uint32
	src, dst     uint32
	sport, dport uint16
	sum          uint32
	data         []byte
}

// flow identifies a flow by the client's and the route's end.
type flow struct {
	client uint32
	port   uint16
	host   uint32
	hport  uint16
}

func (f flow) String() string {
	return fmt.Sprintf("%s:%d>%s:%d", dotted(f.client), f.port, dotted(f.host), f.hport)
}

func dotted(a uint32) string {
	return fmt.Sprintf("%d.%d.%d.%d", a>>24, a>>16&255, a>>8&255, a&255)
}

func decode(b []byte) (packet, bool) {
	if len(b) < headSize {
		return packet{}, false
	}
	l := binary.LittleEndian
	return packet{
		flags: b[0],
		seq:   l.Uint32(b[6:]),
		ack:   l.Uint32(b[10:]),
		src:   l.Uint32(b[14:]),
		dst:   l.Uint32(b[18:]),
		dport: l.Uint16(b[22:]),
		sport: l.Uint16(b[24:]),
		sum:   l.Uint32(b[26:]),
		data:  b[headSize:],
	}, true
}

func (p packet) encode() []byte {
	b := make([]byte, headSize, headSize+len(p.data))
	l := binary.LittleEndian
	b[0] = p.flags
	l.PutUint32(b[6:], p.seq)
	l.PutUint32(b[10:], p.ack)
	l.PutUint32(b[14:], p.src)
	l.PutUint32(b[18:], p.dst)
	l.PutUint16(b[22:], p.dport)
	l.PutUint16(b[24:], p.sport)
	l.PutUint16(b[30:], uint16(len(p.data)))
	b = append(b, p.data...)
	l.PutUint32(b[26:], keyedSum(b))
	return b
}

// keyedSum is the sum over all fields except echo, pad and the bounced flag.
func keyedSum(b []byte) uint32 {
	c := append([]byte("review"), b...)
	h := c[len("review"):]
	h[0] &^= flagBounced
	for i := 1; i < 6; i++ {
		h[i] = 0
	}
	for i := 26; i < 30; i++ {
		h[i] = 0
	}
	return crc32.ChecksumIEEE(c) | 1
}
