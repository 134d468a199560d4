package tomlfile

import (
	"strings"
	"testing"
	"time"
)

type testFile struct {
	Name  string   `toml:"name"`
	Pause Duration `toml:"pause"`
	List  []struct {
		Size int `toml:"size"`
	} `toml:"list"`
}

func TestFaultsNameLineAndKey(t *testing.T) {
	for name, c := range map[string]struct{ text, want string }{
		"a key that is not known":     {"name = \"a\"\nnome = \"b\"\n", "2: nome: unknown key"},
		"a value of another type":     {"name = \"a\"\n\n[[list]]\nsize = \"two\"\n", "4: list.size: "},
		"a time that is none":         {"pause = \"soon\"\n", "1: pause: "},
		"a value that check rejects":  {"\n[[list]]\nsize = 1\n[[list]]\nsize = 2\n", "5: list[1].size: 2; expected 1"},
		"a key that is missing there": {"\n[[list]]\n", "2: list[0].size: 0; expected 1"},
	} {
		var f testFile
		err := Decode([]byte(c.text), &f, func() error {
			for i, e := range f.List {
				if e.Size != 1 {
					return KeyErrorf("list["+string(rune('0'+i))+"].size", "%d; expected 1", e.Size)
				}
			}
			return nil
		})
		if err == nil || !strings.HasPrefix(err.Error(), c.want) {
			t.Errorf("%s: %v, want %s", name, err, c.want)
		}
	}
}

func TestDecodeTakesASoundFile(t *testing.T) {
	text := []byte("name = \"a\"\npause = \"1.5s\"\n[[list]]\nsize = 1\n")
	var f testFile
	if err := Decode(text, &f, func() error { return nil }); err != nil || f.Name != "a" || f.Pause.Duration != 1500*time.Millisecond || len(f.List) != 1 {
		t.Errorf("%+v, %v", f, err)
	}
	keys := IndexKeys(text)
	if !keys.Has("list[0].size") || keys.Has("list[1].size") || !keys.HasSection("list") || keys.HasSection("lis") {
		t.Errorf("keys: %v", keys)
	}
}
