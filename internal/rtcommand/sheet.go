package rtcommand

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/rhubarbtally/rhubarbtally/internal/rtdocument"
	"github.com/rhubarbtally/rhubarbtally/internal/rtfinding"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtsheet"
)

func (p *Program) sheetCheck() *ffcli.Command {
	command := p.command("sheet check", "FILE", "check a sheet and report all findings")
	command.Exec = func(_ context.Context, args []string) error {
		path, err := oneArgument(command, args)
		if err != nil {
			return err
		}
		document, err := p.readSheet(path)
		if err != nil {
			return err
		}
		p.print(p.Stdout, fmt.Sprintf("%s: valid; %s", path, summary(&document)))
		return nil
	}
	return command
}

func summary(document *rtdocument.Document) string {
	return fmt.Sprintf("organisations: %d, services: %d, availability zones: %d",
		len(document.Organisations), len(document.Services), len(document.Zones))
}

func (p *Program) sheetCompile() *ffcli.Command {
	command := p.command("sheet compile", "[-after DOCUMENT] [-revision N] [-out FILE] FILE", "compile a sheet into the document to publish")
	command.LongHelp = "Prints the changes from the document given with -after. Writes nothing if the sheet has errors."
	previousPath := command.FlagSet.String("after", "", "`DOCUMENT` in force, on which the new one is based")
	revision := command.FlagSet.Uint64("revision", 0, "revision of the new document (default: the sheet's, or one more than that of -after, or 1)")
	out := command.FlagSet.String("out", "", "`FILE` to write the document to (default: standard output)")
	command.Exec = func(_ context.Context, args []string) error {
		path, err := oneArgument(command, args)
		if err != nil {
			return err
		}
		return p.compile(path, *previousPath, rtid.Revision(*revision), *out)
	}
	return command
}

func (p *Program) compile(path, previousPath string, revision rtid.Revision, out string) error {
	document, err := p.readSheet(path)
	previous, previousErr := readDocument(previousPath)
	if err := errors.Join(err, previousErr); err != nil {
		return err
	}
	rtsheet.SetRevision(&document, revision, previous)
	if err := checkRevision(path, &document); err != nil {
		return err
	}
	data, err := rtdocument.Encode(&document)
	if err != nil {
		return err
	}
	p.printDifference(previous, &document)
	if out == "" {
		_, err = p.Stdout.Write(data)
		return err
	}
	return writeFile(out, data)
}

// readSheet compiles the sheet. It prints warnings, and returns the findings as
// an error if one of them is an error.
func (p *Program) readSheet(path string) (rtdocument.Document, error) {
	file, err := os.Open(path)
	if err != nil {
		return rtdocument.Document{}, readFileError(path, err)
	}
	// The file was only read, so closing it cannot lose data.
	defer func() { _ = file.Close() }()
	document, findings := rtsheet.Parse(path, file)
	if err := findings.Err(); err != nil {
		return document, err
	}
	p.printFindings(findings)
	return document, nil
}

func (p *Program) printFindings(findings rtfinding.List) {
	for _, finding := range findings.All() {
		p.print(p.Stderr, finding.String())
	}
}

// readDocument reads and validates the document at path. It returns nil if path
// is empty.
func readDocument(path string) (*rtdocument.Document, error) {
	if path == "" {
		return nil, nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, readFileError(path, err)
	}
	document, findings := rtdocument.Decode(data)
	var errorList rtfinding.List
	for _, finding := range findings.All() {
		if !finding.Warning {
			finding.Location.File = path
			errorList.Add(finding.Location, "%s", finding.Text)
		}
	}
	return &document, errorList.Err()
}

// readFileError returns the error for a file that cannot be read, as a finding.
func readFileError(path string, err error) error {
	var pathError *fs.PathError
	if errors.As(err, &pathError) {
		err = pathError.Err
	}
	var findings rtfinding.List
	findings.Add(rtfinding.Location{File: path}, "cannot be read: %v", err)
	return findings.Err()
}

// checkRevision returns an error if the revision is not greater than the base.
// All other checks of the document ran when the sheet was compiled.
func checkRevision(path string, document *rtdocument.Document) error {
	var findings rtfinding.List
	if document.Revision <= document.Base {
		findings.Add(rtfinding.Location{File: path, Field: "revision"}, "revision %d is not greater than base %d", document.Revision, document.Base)
	}
	return findings.Err()
}

// printDifference prints what publishing the document would change.
func (p *Program) printDifference(previous, document *rtdocument.Document) {
	header := fmt.Sprintf("revision %d, made from revision %d; %s", document.Revision, document.Base, summary(document))
	p.print(p.Stderr, header)
	if previous == nil {
		p.print(p.Stderr, "warning: made without -after, so changes cannot be shown and processes that have a document in force count a conflict")
		return
	}
	changes, warnings := rtdocument.Diff(previous, document)
	if len(changes) == 0 {
		p.print(p.Stderr, "no changes")
	}
	p.print(p.Stderr, changes...)
	p.printFindings(warnings)
}

// documentMode allows other operators and tools to read the document.
const documentMode = 0o644

// writeFile replaces a file atomically, so that an incomplete document is never
// published.
func writeFile(path string, data []byte) (err error) {
	file, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".*.tmp")
	if err != nil {
		return fmt.Errorf("write document: %w", err)
	}
	defer func() {
		if err != nil {
			err = fmt.Errorf("write document: %w", err)
			// A failure to remove the temporary file is ignored: the error that is
			// returned is the cause.
			_ = os.Remove(file.Name())
		}
	}()
	if err := writeAndClose(file, data); err != nil {
		return err
	}
	return os.Rename(file.Name(), path)
}

// writeAndClose writes data to the file, syncs it and closes it.
func writeAndClose(file *os.File, data []byte) error {
	_, err := file.Write(data)
	if err == nil {
		err = file.Chmod(documentMode)
	}
	if err == nil {
		err = file.Sync()
	}
	return errors.Join(err, file.Close())
}
