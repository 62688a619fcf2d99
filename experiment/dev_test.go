package experiment
import ("testing";"os";"strings")
func TestDev(t *testing.T) {
	if os.Getenv("EXP") == "" { t.Skip() }
	Run(strings.Fields(os.Getenv("EXP")), os.Stdout, os.Stderr)
}
