package command

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sort"
	"strconv"
	"strings"

	"github.com/dillchute/dillchute/config"
	"github.com/dillchute/dillchute/consensus"
	"github.com/dillchute/dillchute/server"
	"github.com/dillchute/dillchute/storage"
)

type controlCommand struct {
	Init controlInitCommand `cmd:"" help:"Make the data folder of one of the first replicas of a new cluster. Never run it again for a replica that has lost its folder: join under a new identity instead."`
	Join controlJoinCommand `cmd:"" help:"Make a data folder under a new identity, for a replica that joins a running cluster."`
	Run  controlRunCommand  `cmd:"" help:"Run the replica."`
}

// controlFlags override the settings file.
type controlFlags struct {
	Config     string `help:"Settings file." type:"path"`
	Cluster    string `help:"Name of the group of replicas."`
	Address    string `help:"IP address and port to listen on."`
	DataFolder string `help:"Folder of the replica's files." type:"path"`
}

func (f controlFlags) load() (config.Control, error) {
	settings, err := config.LoadControl(f.Config)
	if err != nil {
		return settings, err
	}
	override(&settings.Cluster, f.Cluster)
	override(&settings.Address, f.Address)
	override(&settings.DataFolder, f.DataFolder)
	return settings, settings.Validate()
}

func override(setting *string, flag string) {
	if flag != "" {
		*setting = flag
	}
}

type controlInitCommand struct {
	controlFlags
	Replica uint64   `required:"" help:"Number of this replica among the members."`
	Members []string `required:"" help:"All first members, each as NUMBER=ADDRESS."`
}

// Run creates the data folder.
func (c controlInitCommand) Run(streams Streams) error {
	settings, err := c.load()
	if err != nil {
		return err
	}
	membership, err := parseMembers(c.Members)
	if err != nil {
		return err
	}
	member, ok := membership.Member(consensus.ReplicaID(c.Replica))
	if !ok || member.Address != settings.Address {
		return ErrUsage.New("--members: must hold %d=%s", c.Replica, settings.Address)
	}
	// All initial members start from the same snapshot, so that they agree on the membership.
	snapshot := consensus.Snapshot{Index: 1, Term: 1, Membership: membership}
	if err := storage.Init(settings.DataFolder, settings.Cluster, member.ID, snapshot); err != nil {
		return err
	}
	fmt.Fprintf(streams.Out, "replica %d of cluster %s is set up in %s\n", c.Replica, settings.Cluster, settings.DataFolder)
	return nil
}

func parseMembers(arguments []string) (consensus.Membership, error) {
	var membership consensus.Membership
	for _, argument := range arguments {
		number, address, found := strings.Cut(argument, "=")
		id, err := strconv.ParseUint(number, 10, 64)
		if !found || err != nil || id == 0 {
			return membership, ErrUsage.New("--members: %q is not NUMBER=ADDRESS", argument)
		}
		if _, ok := membership.Member(consensus.ReplicaID(id)); ok {
			return membership, ErrUsage.New("--members: duplicate replica %d", id)
		}
		membership.Members = append(membership.Members, consensus.Member{
			ID: consensus.ReplicaID(id), Address: address, Voter: true,
		})
	}
	sort.Slice(membership.Members, func(i, j int) bool { return membership.Members[i].ID < membership.Members[j].ID })
	return membership, nil
}

type controlJoinCommand struct{ controlFlags }

// Run creates the data folder with a random replica ID.
func (c controlJoinCommand) Run(streams Streams) error {
	settings, err := c.load()
	if err != nil {
		return err
	}
	id := consensus.ReplicaID(rand.Uint64()>>1 | 1<<62)
	if err := storage.Init(settings.DataFolder, settings.Cluster, id, consensus.Snapshot{}); err != nil {
		return err
	}
	fmt.Fprintf(streams.Out, "replica %d is set up in %s; run it with --join\n", id, settings.DataFolder)
	return nil
}

type controlRunCommand struct {
	controlFlags
	Join []string `help:"Addresses of members to ask for admission as a learner."`
}

// Run runs the replica until the context ends.
func (c controlRunCommand) Run(ctx context.Context, streams Streams) error {
	settings, err := c.load()
	if err != nil {
		return err
	}
	replica, err := server.NewControl(settings, c.Join, newLogger(settings.LogLevel, streams.Err))
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", settings.Address)
	if err != nil {
		return ErrFailed.Wrap(err, "listen")
	}
	return replica.Run(ctx, listener)
}

type nodeCommand struct {
	Run nodeRunCommand `cmd:"" help:"Run the node."`
}

type nodeRunCommand struct {
	Config        string   `help:"Settings file." type:"path"`
	ID            string   `help:"Unique name of the node."`
	Zone          string   `help:"Zone of the node."`
	Region        string   `help:"Region of the node."`
	Address       string   `help:"IP address and port for other processes of dillchute."`
	CallerAddress string   `help:"IP address and port for callers."`
	Controls      []string `help:"Addresses of the control replicas."`
	ScorerURL     string   `name:"scorer-url" help:"URL of the scoring service."`
}

// Run runs the node until the context ends.
func (c nodeRunCommand) Run(ctx context.Context, streams Streams) error {
	settings, err := config.LoadNode(c.Config)
	if err != nil {
		return err
	}
	override(&settings.ID, c.ID)
	override(&settings.Zone, c.Zone)
	override(&settings.Region, c.Region)
	override(&settings.Address, c.Address)
	override(&settings.CallerAddress, c.CallerAddress)
	override(&settings.ScorerURL, c.ScorerURL)
	if len(c.Controls) > 0 {
		settings.Controls = c.Controls
	}
	if err := settings.Validate(); err != nil {
		return err
	}
	internal, err := net.Listen("tcp", settings.Address)
	if err != nil {
		return ErrFailed.Wrap(err, "listen")
	}
	callers, err := net.Listen("tcp", settings.CallerAddress)
	if err != nil {
		return ErrFailed.Wrap(err, "listen for callers")
	}
	return server.NewNode(settings, newLogger(settings.LogLevel, streams.Err)).Run(ctx, internal, callers)
}
