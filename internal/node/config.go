package node

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"

	"otterstep/internal/wire"
)

// Config is the configuration of a node at its start.
type Config struct {
	Name      string      // name of the node in its log
	Listen    string      // address at which the node accepts clients
	Discovery string      // address of discovery
	Seed      uint64      // seed of the Balancer's random choices
	MemoryMB  int         // memory that the node may use, in MiB; 0: no limit
	Sockets   int         // number of file descriptors that the node may use
	KnownList listMessage // list of servers that the node last had
	Settings  wire.NodeSettings
}

// LoadConfig reads and checks the configuration file.
func LoadConfig(path string) (Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("configuration: %w", err)
	}
	var file struct {
		Name, Listen, Discovery, Seed string
		Limits                        struct {
			MemoryMB int `json:"memory_mb"`
			Sockets  int
		}
		Known    listMessage
		Settings json.RawMessage
	}
	invalid := func(what string, err error) (Config, error) {
		return Config{}, fmt.Errorf("configuration %s: %s: %w", path, what, err)
	}
	if err := json.Unmarshal(text, &file); err != nil {
		return invalid("JSON", err)
	}
	for name, addr := range map[string]string{"listen": file.Listen, "discovery": file.Discovery} {
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return invalid(name, err)
		}
	}
	config := Config{
		Name: file.Name, Listen: file.Listen, Discovery: file.Discovery,
		MemoryMB: file.Limits.MemoryMB, Sockets: file.Limits.Sockets, KnownList: file.Known,
	}
	if config.Seed, err = strconv.ParseUint(file.Seed, 16, 64); err != nil {
		return invalid("seed", err)
	}
	if config.Sockets < minSockets {
		return invalid("limits.sockets", fmt.Errorf("%d, at least %d are needed", config.Sockets, minSockets))
	}
	if len(file.Settings) == 0 {
		return invalid("settings", errors.New("missing"))
	}
	if config.Settings, err = wire.ParseNodeSettings(file.Settings); err != nil {
		return invalid("settings", err)
	}
	if err := config.Settings.Policy.Validate(); err != nil {
		return invalid("settings", err)
	}
	return config, nil
}
