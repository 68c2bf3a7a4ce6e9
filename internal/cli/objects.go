package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"

	"github.com/stepcroft/stepcroft/internal/adapter/platform"
	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/config"
	"github.com/stepcroft/stepcroft/internal/fair"
	"github.com/stepcroft/stepcroft/internal/port"
	"github.com/stepcroft/stepcroft/internal/settings"
)

// spec is the content of a platform object that operators can edit.
type spec interface {
	Kind() string
	Key() string
}

// orgCommand is "stepcroft org".
type orgCommand struct {
	objectCommands[config.Organisation]
}

// templateCommand is "stepcroft template".
type templateCommand struct {
	objectCommands[config.Template]
}

// policyCommand is "stepcroft policy".
type policyCommand struct {
	objectCommands[config.Pool]
	Names policyNames `cmd:"" help:"List the policies that pools may use."`
}

type policyNames struct{}

// Run prints the names of the policies, one per line.
func (policyNames) Run(s streams) error {
	for _, name := range fair.Names() {
		fmt.Fprintln(s.out, name)
	}
	return nil
}

// objectCommands holds the commands for one kind of object.
type objectCommands[T spec] struct {
	List   listCommand[T]   `cmd:"" help:"List all objects."`
	Show   showCommand[T]   `cmd:"" help:"Show an object."`
	Create createCommand[T] `cmd:"" help:"Create an object; fails if it exists."`
	Edit   editCommand[T]   `cmd:"" help:"Change fields of an object."`
	Apply  applyCommand[T]  `cmd:"" help:"Create or update the objects in a file; others stay."`
}

// platformFlag is the flag for the platform's address.
type platformFlag struct {
	Platform string `help:"Address of the platform's object API." env:"STEPCROFT_PLATFORM" default:"127.0.0.1:7000"`
}

// objectStore reads and writes the objects of one kind on the platform.
type objectStore[T spec] struct{ client *platform.Client }

func openStore[T spec](f platformFlag) objectStore[T] {
	return objectStore[T]{platform.New(f.Platform)}
}

func (objectStore[T]) kind() string {
	var zero T
	return zero.Kind()
}

// object returns an object as stored and its decoded content.
func (s objectStore[T]) object(ctx context.Context, name string) (port.Object, T, error) {
	var v T
	o, err := s.client.Object(ctx, s.kind(), name)
	if err != nil {
		return o, v, err
	}
	return o, v, errors.Wrapf(json.Unmarshal(o.Spec, &v), "decode %s %q", s.kind(), name)
}

// put writes v if the object still has a version, 0 if it must not exist, and returns the object as
// stored. The operation's ID lets the client recognise its own write if the answer was lost.
func (s objectStore[T]) put(ctx context.Context, v T, version uint64) (port.Object, error) {
	body, err := json.Marshal(v)
	if err != nil {
		return port.Object{}, errors.Wrap(err, "write object")
	}
	return s.client.Put(ctx, port.Object{
		Kind: v.Kind(), Name: v.Key(), Version: version, Spec: body,
		Operation: fmt.Sprintf("%d-%d", os.Getpid(), clock.Wall().UnixNano()),
	})
}

type listCommand[T spec] struct {
	platformFlag
	Output string `help:"Output format: table or json." short:"o" enum:"table,json" default:"table"`
}

// Run lists the objects of the kind.
func (c *listCommand[T]) Run(ctx context.Context, s streams) error {
	st := openStore[T](c.platformFlag)
	changes, err := st.client.Changes(ctx, 0, 0)
	if err != nil {
		return err
	}
	var objects []port.Object
	for _, o := range changes.Objects {
		if o.Kind == st.kind() && !o.Deleted {
			objects = append(objects, o)
		}
	}
	if c.Output == "json" {
		return writeJSON(s, objects)
	}
	t := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "name\tversion\tcontent")
	for _, o := range objects {
		fmt.Fprintf(t, "%s\t%d\t%s\n", o.Name, o.Version, strings.Join(fieldLines(o.Spec), " "))
	}
	return t.Flush()
}

// writeJSON writes v to the standard output as indented JSON.
func writeJSON(s streams, v any) error {
	encoder := json.NewEncoder(s.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

type showCommand[T spec] struct {
	platformFlag
	Name   string `arg:"" help:"Name of the object."`
	Output string `help:"Output format: yaml or json." short:"o" enum:"yaml,json" default:"yaml"`
}

// Run shows one object.
func (c *showCommand[T]) Run(ctx context.Context, s streams) error {
	o, v, err := openStore[T](c.platformFlag).object(ctx, c.Name)
	if err != nil {
		return err
	}
	if c.Output == "json" {
		return writeJSON(s, o)
	}
	fmt.Fprintf(s.out, "# version %d, revision %d\n", o.Version, o.Revision)
	text, err := yaml.Marshal(v)
	if err != nil {
		return errors.Wrap(err, "write YAML")
	}
	_, err = s.out.Write(text)
	return err
}

// changeFlags holds the flags of all commands that write objects.
type changeFlags struct {
	platformFlag
	DryRun bool   `help:"Print what would change without changing it."`
	Output string `help:"Output format: text or json." short:"o" enum:"text,json" default:"text"`
}

// writeObject replaces the content of the object before by v and prints what changed. In a dry run,
// or if nothing changes, it only prints. On a conflict it prints how the stored object differs from
// before.
func writeObject[T spec](ctx context.Context, s streams, c changeFlags, before port.Object, v T) error {
	after, err := json.Marshal(v)
	if err != nil {
		return errors.Wrap(err, "write object")
	}
	changes := changedFields(before.Spec, after)
	if before.Version > 0 && len(changes) == 0 {
		return printResult(s, c, v, "unchanged", before, nil)
	}
	if c.DryRun {
		return printResult(s, c, v, "would change", before, changes)
	}
	stored, err := openStore[T](c.platformFlag).put(ctx, v, before.Version)
	if errors.Is(err, port.ErrConflict) {
		for _, line := range changedFields(before.Spec, stored.Spec) {
			fmt.Fprintf(s.err, "changed meanwhile: %s\n", line)
		}
		return err
	}
	if err != nil {
		return errors.Wrap(err, "not accepted")
	}
	return printResult(s, c, v, "accepted", stored, changes)
}

// changeResult is the JSON output of a command that writes an object.
type changeResult struct {
	Kind    string   `json:"kind"`
	Name    string   `json:"name"`
	Result  string   `json:"result"`
	Version uint64   `json:"version"`
	Changes []string `json:"changes"`
}

// printResult prints the result of writing an object, with a line for each changed field.
func printResult(s streams, c changeFlags, v spec, result string, o port.Object, changes []string) error {
	if c.Output == "json" {
		return writeJSON(s, changeResult{v.Kind(), v.Key(), result, o.Version, changes})
	}
	fmt.Fprintf(s.out, "%s %s: %s, version %d\n", v.Kind(), v.Key(), result, o.Version)
	for _, line := range changes {
		fmt.Fprintf(s.out, "  %s\n", line)
	}
	return nil
}

type createCommand[T spec] struct {
	changeFlags
	Name string   `arg:"" help:"Name of the new object."`
	Set  []string `help:"Field and value, such as weight=2 or limits.queue=50." sep:"none"`
}

// Run creates an object.
func (c *createCommand[T]) Run(ctx context.Context, s streams) error {
	v, err := decodeWithFields[T]([]byte("name: "+c.Name+"\n"), c.Set)
	if err != nil {
		return err
	}
	return writeObject(ctx, s, c.changeFlags, port.Object{}, v)
}

type editCommand[T spec] struct {
	changeFlags
	Name      string   `arg:"" help:"Name of the object."`
	Set       []string `help:"Field and value, such as weight=2 or limits.queue=50." sep:"none" required:""`
	IfVersion uint64   `help:"Change the object only if it has this version."`
}

// Run changes fields of an object.
func (c *editCommand[T]) Run(ctx context.Context, s streams) error {
	o, v, err := openStore[T](c.platformFlag).object(ctx, c.Name)
	if err != nil {
		return err
	}
	if err := checkVersion(o, c.IfVersion); err != nil {
		return err
	}
	text, err := yaml.Marshal(v)
	if err != nil {
		return errors.Wrap(err, "write YAML")
	}
	v, err = decodeWithFields[T](text, c.Set)
	if err != nil {
		return err
	}
	return writeObject(ctx, s, c.changeFlags, o, v)
}

// checkVersion returns a conflict if o does not have the wanted version; 0 accepts any.
func checkVersion(o port.Object, want uint64) error {
	if want == 0 || o.Version == want {
		return nil
	}
	return errors.Wrapf(port.ErrConflict, "%s %q has version %d, not %d: now %s",
		o.Kind, o.Name, o.Version, want, strings.Join(fieldLines(o.Spec), " "))
}

type applyCommand[T spec] struct {
	changeFlags
	File      string `help:"YAML file with one document per object." short:"f" required:"" type:"existingfile"`
	IfVersion uint64 `help:"Change an object only if it has this version."`
}

// Run creates or updates the objects of a file in order, and stops at the first that fails.
func (c *applyCommand[T]) Run(ctx context.Context, s streams) error {
	list, err := settings.ReadFileAll[T](c.File)
	if err != nil {
		return err
	}
	st := openStore[T](c.platformFlag)
	for _, v := range list {
		o, _, err := st.object(ctx, v.Key())
		if err != nil && !errors.Is(err, port.ErrNotFound) {
			return err
		}
		if err := checkVersion(o, c.IfVersion); err != nil {
			return err
		}
		if err := writeObject(ctx, s, c.changeFlags, o, v); err != nil {
			return err
		}
	}
	return nil
}
