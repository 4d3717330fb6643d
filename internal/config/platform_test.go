package config

import (
	"errors"
	"reflect"
	"strings"
	"testing"

	"github.com/tidwall/gjson"

	"ravenhitch/internal/simwire"
	"ravenhitch/placement"
)

// nested and flat contain the same settings: nested in the format of the configuration, flat in the wire
// format of the simulator.
const nested = `{"FamilyInfo":{"ApartBy":["none","cell"],"Bound":false,"CalmLevel":[0.8,0.75],"ClassMost":[2,3],
 "ClassStartS":[10.0,8.0],"CoresMultiple":1.5,"Counts":"asked","FreshOffers":56.0,"KindByClass":[-1,1],"LostAfter":[0.25,0.15],
 "MemoryByKind":[56.0,117.0],"MemoryMultiple":1.0,"ReportX0":"cores of the machine, free","SaysYes":"accepted","ShareCores":[],
 "SizeCores":[26,63],"UnitCores":1.05,"UnitMemory":2.13,"View":true},"Flavors":["node-32","node-64"],"FleetSize":3,
 "Discovery":"subscribe","Limits":{"AttemptsCap":3,"Cancel":true,"DialTimeoutUs":250000,"MaxRetryAfterUs":3000000,"Probes":true},
 "Parties":[],"Prices":{"Moves":0.1},"Report":{"Fields":["x0","x1"],"How":"answers"},"OverShareWorth":0.1,
 "RequestClasses":[{"DeadlineUs":6000000,"Group":"all","Importance":1.0,"Name":"guide-web","OnTimeUs":1000000,"Semantics":"free",
 "WindowUs":5000000},{"DeadlineUs":10000000,"Group":"all","Importance":5.0,"Name":"archive-cut","OnTimeUs":6000000,
 "Semantics":"single_shot","WindowUs":5000000}],"Rules":{"AnswerSlackUs":8000,"AskWithinUs":10000000,"ColdShare":0.21,
 "ColdUs":16000000,"DrainGraceUs":2000000,"OverloadForUs":3000000},"SelfIndex":1,"TickUs":2000,"Zone":"hall-c"}`

const flat = `Discovery=subscribe FamilyInfo.ApartBy=none,cell FamilyInfo.Bound=false FamilyInfo.CalmLevel=0.8,0.75
 FamilyInfo.ClassMost=2,3 FamilyInfo.ClassStartS=10.0,8.0 FamilyInfo.CoresMultiple=1.5 FamilyInfo.Counts=asked
 FamilyInfo.FreshOffers=56.0 FamilyInfo.KindByClass=-1,1 FamilyInfo.LostAfter=0.25,0.15 FamilyInfo.MemoryByKind=56.0,117.0
 FamilyInfo.MemoryMultiple=1.0 FamilyInfo.ReportX0=cores_of_the_machine__free FamilyInfo.SaysYes=accepted FamilyInfo.ShareCores=
 FamilyInfo.SizeCores=26,63 FamilyInfo.UnitCores=1.05 FamilyInfo.UnitMemory=2.13 FamilyInfo.View=true Flavors=node-32,node-64
 FleetSize=3 Limits.AttemptsCap=3 Limits.Cancel=true Limits.DialTimeoutUs=250000 Limits.MaxRetryAfterUs=3000000
 Limits.Probes=true OverShareWorth=0.1 Parties= Prices.Moves=0.1 Report.Fields=x0,x1 Report.How=answers RequestClasses.count=2
 RequestClasses.0.DeadlineUs=6000000 RequestClasses.0.Group=all RequestClasses.0.Importance=1.0 RequestClasses.0.Name=guide-web
 RequestClasses.0.OnTimeUs=1000000 RequestClasses.0.Semantics=free RequestClasses.0.WindowUs=5000000
 RequestClasses.1.DeadlineUs=10000000 RequestClasses.1.Group=all RequestClasses.1.Importance=5.0 RequestClasses.1.Name=archive-cut
 RequestClasses.1.OnTimeUs=6000000 RequestClasses.1.Semantics=single_shot RequestClasses.1.WindowUs=5000000
 Rules.AnswerSlackUs=8000 Rules.AskWithinUs=10000000 Rules.ColdShare=0.21 Rules.ColdUs=16000000 Rules.DrainGraceUs=2000000
 Rules.OverloadForUs=3000000 SelfIndex=1 TickUs=2000 Zone=hall-c`

// Nested settings and the same settings as flat pairs give equal results.
func TestSettingsOnBothWires(t *testing.T) {
	a, err := simwire.ParseSettings(Pairs(gjson.Parse(nested)))
	if err != nil {
		t.Fatal(err)
	}
	b, err := simwire.ParseSettings(strings.Fields(flat))
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(a, b) {
		t.Errorf("settings differ: nested JSON gives\n%+v\nflat pairs give\n%+v", a, b)
	}
	if a.Classes[1].Effect != placement.Unsafe || a.Kinds[1].Cores != 63 || a.SlowStartOffers != 56 {
		t.Errorf("ParseSettings: got %+v, want an unsafe class 1, 63 cores in kind 1 and 56 slow start offers", a)
	}
}

// workerJSON is a valid entry of a list of workers.
const workerJSON = `{"id":"s-00c41f7a","host_port":"127.1.0.9:5070","locality":"east","flavor":"std","cell":2,"phase":"up",
 "size":4,"up_since_ms":1700,"spare":[12,-3.5]}`

// configText returns the text of a configuration file with the given fields.
func configText(listen, channel, seed, known, settings string) string {
	return `{"name":"n3","listen":"` + listen + `","seed":"` + seed + `","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
	 "channel":"` + channel + `","known":` + known + `,"settings":` + settings + `}`
}

// A valid configuration is parsed as written, and each invalid one gives an error of one line.
func TestParse(t *testing.T) {
	known := `{"cursor":3,"cmds":[{"cursor":3,"nodes":{"revision":7,"complete":true,"members":[` + workerJSON + `]}}]}`
	c, err := Parse([]byte(configText("127.0.0.4:5070", "127.2.0.1:9092", "8c1f30d27a5be964", known, nested)))
	if err != nil {
		t.Fatal(err)
	}
	want := Worker{Addr: "127.1.0.9:5070", Entry: placement.Entry{Worker: "s-00c41f7a", Kind: "std", Zone: "east", Cell: 2,
		StartedAtUs: 1_700_000, FreeCores: 12, FreeMemory: -3.5}}
	if c.Seed != 0x8c1f30d27a5be964 || c.MemoryMB != 192 || c.Sockets != 1024 || c.DialTimeoutUs != 250_000 ||
		c.Initial.Cursor != 3 || !c.Initial.Events[0].Complete || c.Initial.Events[0].Workers[0] != want {
		t.Errorf("Parse: got configuration %+v, want the values in the text", c)
	}
	unknownPhase := strings.Replace(known, `"up"`, `"gone"`, 1)
	unknownEffect := strings.Replace(nested, "single_shot", "twice", 1)
	kindWithoutSize := strings.Replace(nested, "[26,63]", "[26]", 1)
	for name, bad := range map[string]string{
		"empty": "", "truncated": `{"name":`, "no listen": configText("", "127.2.0.1:1", "1", known, nested),
		"listen without port":  configText("127.0.0.1", "127.2.0.1:1", "1", known, nested),
		"no channel":           configText("127.0.0.1:1", "", "1", known, nested),
		"seed not hexadecimal": configText("127.0.0.1:1", "127.2.0.1:1", "x", known, nested),
		"no known":             configText("127.0.0.1:1", "127.2.0.1:1", "1", "null", nested),
		"unknown phase":        configText("127.0.0.1:1", "127.2.0.1:1", "1", unknownPhase, nested),
		"no settings":          configText("127.0.0.1:1", "127.2.0.1:1", "1", known, "[]"),
		"unknown effect":       configText("127.0.0.1:1", "127.2.0.1:1", "1", known, unknownEffect),
		"kind without a size":  configText("127.0.0.1:1", "127.2.0.1:1", "1", known, kindWithoutSize),
	} {
		if _, err := Parse([]byte(bad)); !errors.Is(err, ErrConfig) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: got error %v, want one line that wraps ErrConfig", name, err)
		}
	}
}

// ParseUpdate returns the valid workers of an event that also contains an invalid worker. A text that is
// not a JSON object gives an error.
func TestInvalidWorker(t *testing.T) {
	const invalidWorker = `{"id":"x","phase":"odd"}`
	u, err := ParseUpdate([]byte(
		`{"cursor":4,"cmds":[{"cursor":4,"nodes":{"members":[` + invalidWorker + `,` + workerJSON + `]}}]}`))
	if err != nil || len(u.InvalidWorkers) != 1 || len(u.Events[0].Workers) != 1 {
		t.Errorf("ParseUpdate: got %+v, error %v, want one valid and one invalid worker", u, err)
	}
	for _, bad := range []string{"", "[]", "{"} {
		if _, err := ParseUpdate([]byte(bad)); !errors.Is(err, ErrConfig) {
			t.Errorf("%q: got error %v, want one that wraps ErrConfig", bad, err)
		}
	}
}
