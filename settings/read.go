package settings

import (
	"os"
	"slices"

	"auburngap/strictjson"
)

// Duration is a time.Duration written as text, such as "2s", in JSON.
type Duration = strictjson.Duration

// Read reads and checks a settings file. It returns faults as
// *strictjson.FaultsError.
func Read(path string) (Node, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Node{}, err
	}
	return Parse(path, data)
}

// Parse parses and checks settings; path is used only in faults.
func Parse(path string, data []byte) (Node, error) {
	node := Default()
	reader, faults := strictjson.Read(data, &node)
	if reader != nil {
		faults = append(faults, valueFaults(reader, &node)...)
		faults = reader.Locate(faults)
	}
	if len(faults) > 0 {
		return Node{}, &strictjson.FaultsError{File: path, Faults: faults}
	}
	return node, nil
}

// valueFaults returns the faults in the values of the fields that could be decoded.
func valueFaults(reader *strictjson.Reader, node *Node) []strictjson.Fault {
	return slices.DeleteFunc(node.check(), func(f strictjson.Fault) bool { return reader.IsFaulty(f.Field) })
}
